#include "core/agent/attempt_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

#include "common/metrics.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

class recording_sender final : public core::router_sender {
 public:
  void Send(core::router_connection_id, const core::message& message) override {
    sent.push_back(message);
  }
  /// @return the last message of a type; fails the test when there is none
  template <typename wanted>
  wanted Last() const {
    for (auto at = sent.rbegin(); at != sent.rend(); ++at) {
      if (const wanted* found = std::get_if<wanted>(&*at)) return *found;
    }
    FAIL("no such message was sent");
    return {};
  }
  std::vector<core::message> sent;
};

class manual_target final : public core::target_client {
 public:
  void Run(const core::execute_message& execute,
           core::target_observer*) override {
    ++runs[execute.operation_token];
  }
  void Cancel(std::string_view) override {}
  std::map<std::string, int> runs;
};

class recording_observer final : public core::operation_end_observer {
 public:
  void OnOperationEnded(const core::execute_message& execute, bool ran,
                        std::string_view) override {
    ended[execute.operation_token] = ran;
  }
  std::map<std::string, bool> ended;
};

core::attempt_scheduler_options Options() {
  core::attempt_scheduler_options options;
  options.incarnation = 77;
  options.concurrency_limit = 1;
  options.retention = std::chrono::seconds(5);
  options.retained_bytes = 100;
  options.tokens.window = std::chrono::seconds(10);
  options.tokens.retained_windows = 3;
  return options;
}

}  // namespace

TEST_GROUP(AttemptScheduler) {
  fakes::virtual_time time;
  recording_sender routers;
  manual_target target;
  recording_observer ends;
  core::attempt_scheduler scheduler{Options(), target, routers, time, time};

  void setup() override { scheduler.SetOperationObserver(&ends); }

  core::execute_message Operation(const std::string& token) const {
    core::execute_message execute;
    execute.attempt_id = "attempt-" + token;
    execute.organisation = "parks";
    execute.operation_token = token;
    execute.expected_incarnation = 77;
    execute.token_window = scheduler.token_window();
    execute.remaining = std::chrono::milliseconds(2000);
    return execute;
  }
  core::revoke_answer_message Revoke(const core::execute_message& execute) {
    scheduler.OnRevoke(1, {"", execute.operation_token, execute.token_window});
    return routers.Last<core::revoke_answer_message>();
  }
};

TEST(AttemptScheduler, AnExecuteThatArrivesAfterItsRevokeDoesNotRun) {
  const core::execute_message late = Operation("t");
  const core::revoke_answer_message answer = Revoke(late);
  CHECK(answer.known && !answer.begun);
  scheduler.OnExecute(1, late);
  CHECK(target.runs.empty());
  CHECK(!routers.Last<core::outcome_message>().begun);
}

TEST(AttemptScheduler, AnExecuteOfAnEarlierWindowDoesNotRun) {
  const core::execute_message late = Operation("t");
  time.Advance(std::chrono::seconds(21));
  scheduler.OnExecute(1, late);
  CHECK(target.runs.empty());
}

TEST(AttemptScheduler, OneTokenRunsOnceUnderTwoAttempts) {
  core::execute_message execute = Operation("t");
  scheduler.OnExecute(1, execute);
  execute.attempt_id = "another";
  scheduler.OnExecute(2, execute);
  scheduler.OnTargetResult("attempt-t", {});
  CHECK_EQUAL(1, target.runs.at("t"));
}

TEST(AttemptScheduler, AnEvictedAttemptIsNotReportedAsNotBegun) {
  const core::execute_message execute = Operation("t");
  scheduler.OnExecute(1, execute);
  scheduler.OnTargetResult(execute.attempt_id, {});
  time.Advance(std::chrono::seconds(6));
  CHECK(Revoke(execute).begun);
  scheduler.OnResume(
      1, {execute.attempt_id, "parks", 0, "t", execute.token_window});
  CHECK(routers.Last<core::outcome_message>().begun);
  time.Advance(std::chrono::seconds(60));
  CHECK(!Revoke(execute).known);
  scheduler.OnResume(
      1, {execute.attempt_id, "parks", 0, "t", execute.token_window});
  CHECK(routers.Last<core::outcome_message>().begun);
}

TEST(AttemptScheduler, ARestartedAgentDoesNotKnowEarlierTokens) {
  core::execute_message execute = Operation("t");
  execute.token_window = 3;  // of an incarnation that is gone
  CHECK(!Revoke(execute).known);
}

TEST(AttemptScheduler, AnotherRoutersRevokeEndsAQueuedAttempt) {
  scheduler.OnExecute(1, Operation("first"));
  scheduler.OnExecute(1, Operation("queued"));
  const core::revoke_answer_message answer = Revoke(Operation("queued"));
  CHECK(answer.known && !answer.begun);
  const core::outcome_message outcome = routers.Last<core::outcome_message>();
  STRCMP_EQUAL("attempt-queued", outcome.attempt_id.c_str());
  CHECK(!outcome.begun);
  CHECK(!ends.ended.at("queued"));
  scheduler.OnTargetResult("attempt-first", {});
  CHECK(ends.ended.at("first"));
  CHECK_EQUAL(1, target.runs.size());
}

TEST(AttemptScheduler, RetainedBytesOfEndedAttemptsAreBounded) {
  for (int i = 0; i < 20; ++i) {
    const core::execute_message execute = Operation("t" + std::to_string(i));
    scheduler.OnExecute(1, execute);
    core::target_result result;
    result.result = std::string(30, 'x');
    scheduler.OnTargetResult(execute.attempt_id, result);
    CHECK(scheduler.retained_bytes() <= 100);
  }
  time.Advance(std::chrono::seconds(6));
  CHECK_EQUAL(0, scheduler.retained_bytes());
}

TEST(AttemptScheduler, AnotherOrganisationCannotResume) {
  const core::execute_message execute = Operation("t");
  scheduler.OnExecute(1, execute);
  scheduler.OnTargetResult(execute.attempt_id, {});
  const size_t before = routers.sent.size();
  scheduler.OnResume(2, {execute.attempt_id, "schools", 0});
  CHECK_EQUAL(before, routers.sent.size());
  CHECK(common::Metrics().Counter("wisteria_results_foreign_total") > 0);
}

TEST(AttemptScheduler, ADrainWaitsForRunningAttemptsAndRefusesNewOnes) {
  scheduler.OnExecute(1, Operation("running"));
  bool drained = false;
  scheduler.Drain([&drained] { drained = true; });
  time.Advance(std::chrono::seconds(1));
  CHECK(!drained);
  scheduler.OnExecute(1, Operation("late"));
  CHECK(routers.Last<core::outcome_message>().code ==
        common::result_code::kDraining);
  scheduler.OnTargetResult("attempt-running", {});
  time.Advance(std::chrono::seconds(1));
  CHECK(drained);
  CHECK_EQUAL(1, target.runs.size());
}
