#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "core/agent/attempt_scheduler.h"
#include "core/policy/agent_policy.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

/// Ends each run after a fixed time and records how many run concurrently.
class timed_target final : public core::target_client {
 public:
  explicit timed_target(fakes::virtual_time& time) : time_(time) {}

  void Run(const core::execute_message& execute,
           core::target_observer* observer) override {
    order.push_back(execute.attempt_id);
    max_running = std::max(max_running, ++running);
    if (execute.exclusive) beside_exclusive = running - 1;
    time_.Schedule(service, [this, observer, id = execute.attempt_id] {
      --running;
      observer->OnTargetResult(id, {});
    });
  }
  void Cancel(std::string_view) override {}

  common::duration service = milliseconds(10);
  std::vector<std::string> order;
  int running = 0;
  int max_running = 0;
  int beside_exclusive = -1;

 private:
  fakes::virtual_time& time_;
};

class outcome_recorder final : public core::router_sender {
 public:
  void Send(core::router_connection_id, const core::message& message) override {
    const core::outcome_message* outcome =
        std::get_if<core::outcome_message>(&message);
    if (outcome != nullptr) codes[outcome->attempt_id] = outcome->code;
  }
  std::map<std::string, common::result_code> codes;
};

}  // namespace

TEST_GROUP(AttemptLimits) {
  fakes::virtual_time time;
  timed_target target{time};
  outcome_recorder routers;
  core::attempt_scheduler scheduler{
      {.concurrency_limit = 4}, target, routers, time, time};

  void UseFairQueue() {
    core::agent_policy policy;
    policy.limit = "fixed";
    policy.concurrency.maximum = 4;
    scheduler.SetPolicies(std::move(*core::MakeConcurrencyLimit(policy)),
                          std::move(*core::MakeAttemptQueue(policy)));
  }

  core::execute_message Attempt(const std::string& id, int remaining_ms) {
    core::execute_message execute;
    execute.attempt_id = id;
    execute.organisation = id.substr(0, 1);
    execute.remaining = milliseconds(remaining_ms);
    return execute;
  }
};

TEST(AttemptLimits, AttemptsThatWouldMissTheirDeadlineAreNotBegun) {
  target.service = milliseconds(100);
  for (int i = 0; i < 60; ++i) {
    scheduler.OnExecute(1, Attempt("w" + std::to_string(i), 10000));
    time.Advance(milliseconds(100));
  }
  // The target is full for 100 ms; 130 ms then leave too little time.
  for (int i = 0; i < 4; ++i) {
    scheduler.OnExecute(1, Attempt("a" + std::to_string(i), 10000));
  }
  scheduler.OnExecute(1, Attempt("b", 130));
  time.Advance(milliseconds(500));
  CHECK(routers.codes["b"] == common::result_code::kDeadlineExceeded);
  for (const std::string& id : target.order) CHECK(id != "b");
}

TEST(AttemptLimits, AnIdleTargetAcceptsWorkWhateverTheEstimate) {
  target.service = milliseconds(1000);
  for (int i = 0; i < 30; ++i) {
    scheduler.OnExecute(1, Attempt("w" + std::to_string(i), 10000));
    time.Advance(milliseconds(1000));
  }
  target.service = milliseconds(10);
  scheduler.OnExecute(1, Attempt("a", 200));
  time.Advance(milliseconds(500));
  CHECK(routers.codes["a"] == common::result_code::kOk);
}

TEST(AttemptLimits, AnExclusiveAttemptRunsAloneAndDelaysOthersBriefly) {
  for (int i = 0; i < 6; ++i) {
    scheduler.OnExecute(1, Attempt("a" + std::to_string(i), 1000));
  }
  core::execute_message suspect = Attempt("s", 1000);
  suspect.exclusive = true;
  scheduler.OnExecute(1, suspect);
  scheduler.OnExecute(1, Attempt("b", 1000));
  time.Advance(milliseconds(200));
  CHECK_EQUAL(0, target.beside_exclusive);
  CHECK_EQUAL(8, static_cast<int>(target.order.size()));
  CHECK_EQUAL(4, target.max_running);
}

TEST(AttemptLimits, ABurstThatWouldMissItsDeadlineIsRefusedAtOnce) {
  UseFairQueue();
  scheduler.OnExecute(1, Attempt("w", 1000));
  time.Advance(milliseconds(100));  // the service time is known now
  target.service = milliseconds(10);
  for (int i = 0; i < 60; ++i) {
    scheduler.OnExecute(1, Attempt("a" + std::to_string(i), 30));
  }
  int refused = 0;
  for (const auto& [id, code] : routers.codes) {
    refused += code == common::result_code::kOverloaded ? 1 : 0;
  }
  CHECK(refused > 40);
  time.Advance(milliseconds(100));
  int expired = 0;
  for (const auto& [id, code] : routers.codes) {
    expired += code == common::result_code::kDeadlineExceeded ? 1 : 0;
  }
  CHECK_EQUAL(0, expired);
}

TEST(AttemptLimits, QueuedAttemptsSurviveAPolicyChange) {
  for (int i = 0; i < 10; ++i) {
    scheduler.OnExecute(1, Attempt("a" + std::to_string(i), 1000));
  }
  UseFairQueue();
  time.Advance(milliseconds(100));
  CHECK_EQUAL(10, static_cast<int>(target.order.size()));
}

TEST(AttemptLimits, TheLoadReportHasTheQueueWait) {
  scheduler.OnExecute(1, Attempt("w", 1000));
  time.Advance(milliseconds(100));
  CHECK_EQUAL(0U, scheduler.Load().queue_wait_us);
  for (int i = 0; i < 20; ++i) {
    scheduler.OnExecute(1, Attempt("a" + std::to_string(i), 1000));
  }
  CHECK(scheduler.Load().queue_wait_us > 0);
}
