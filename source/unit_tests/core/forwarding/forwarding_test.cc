#include <CppUTest/TestHarness.h>

#include "core/forwarding/attempt_rules.h"
#include "core/forwarding/event_stream_filter.h"
#include "core/forwarding/gateway_retry_budget.h"
#include "core/forwarding/target_selector.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::attempt_outcome;
using core::next_step;

TEST_GROUP(AttemptRules) {
  core::attempt_context context;

  void setup() override {
    context.attempts = 1;
    context.max_attempts = 2;
  }

  next_step After(attempt_outcome outcome) {
    context.end = outcome;
    context.may_have_run = outcome == attempt_outcome::kLost ||
                           outcome == attempt_outcome::kFailed;
    return core::DecideNextStep(context);
  }
};

TEST(AttemptRules, ANonRetryableRequestThatMayHaveRunIsNotRetried) {
  CHECK(After(attempt_outcome::kLost) == next_step::kUnknown);
  CHECK(After(attempt_outcome::kFailed) == next_step::kForwardFailure);
}

// A target's own 503 was handed on for a request that had run: its caller took
// it for the promise that it had not, and booked again.
TEST(AttemptRules, AFailureThatWouldPromiseNotRunIsNotForwarded) {
  context.unstated_promise = true;
  CHECK(After(attempt_outcome::kFailed) == next_step::kUnknown);
}

TEST(AttemptRules, ARequestThatDidNotRunIsRetriedUpToItsMaximum) {
  CHECK(After(attempt_outcome::kNotRun) == next_step::kRetry);
  context.attempts = 2;
  CHECK(After(attempt_outcome::kNotRun) == next_step::kNotRun);
}

TEST(AttemptRules, NotRunIsNotReportedIfAnEarlierAttemptMayHaveRun) {
  context.end = attempt_outcome::kNotRun;
  context.may_have_run = true;
  context.attempts = 2;
  CHECK(core::DecideNextStep(context) == next_step::kUnknown);
}

TEST(AttemptRules, ARetryableRequestIsRetriedWithinTheBudget) {
  context.retryable = true;
  CHECK(After(attempt_outcome::kLost) == next_step::kRetry);
  context.budget_left = false;
  CHECK(After(attempt_outcome::kLost) == next_step::kUnknown);
}

TEST(AttemptRules, AFailedDialCountsAsNoAttemptAndUsesNoBudget) {
  context.attempts = 2;
  context.budget_left = false;
  CHECK(After(attempt_outcome::kNotSent) == next_step::kRetry);
  context.targets_left = false;
  CHECK(After(attempt_outcome::kNotSent) == next_step::kNotRun);
}

TEST_GROUP(GatewayRetryBudget) {
  fakes::virtual_time time;
  core::gateway_retry_budget_options options;

  int AcquireAll(core::gateway_retry_budget * budget) {
    int acquired = 0;
    while (acquired < 1000 && budget->TryAcquire("plain")) ++acquired;
    return acquired;
  }
};

TEST(GatewayRetryBudget, AllGatewaysTogetherStayWithinTheBudget) {
  constexpr int kGateways = 5;
  constexpr int kRequests = 100;
  int acquired = 0;
  for (int i = 0; i < kGateways; ++i) {
    core::gateway_retry_budget budget(options, time);
    budget.SetGateways(kGateways);
    for (int request = 0; request < kRequests; ++request) {
      budget.OnRequest("plain");
    }
    acquired += AcquireAll(&budget);
  }
  CHECK(acquired > 50);
  CHECK(acquired <= options.ratio * kRequests * kGateways + options.reserve);
}

TEST(GatewayRetryBudget, NoWindowExceedsTheBudget) {
  core::gateway_retry_budget budget(options, time);
  std::vector<int> acquired;
  for (int second = 0; second < 40; ++second) {
    for (int request = 0; request < 10; ++request) budget.OnRequest("plain");
    acquired.push_back(AcquireAll(&budget));
    time.Advance(std::chrono::seconds(1));
  }
  for (size_t at = 0; at + 10 <= acquired.size(); ++at) {
    int window = 0;
    for (size_t i = at; i < at + 10; ++i) window += acquired[i];
    CHECK(window <= options.ratio * 100 + options.reserve);
  }
}

TEST_GROUP(EventStreamFilter) { core::event_stream_filter stream; };

TEST(EventStreamFilter, OnlyCompleteEventsAreForwarded) {
  CHECK_EQUAL("", stream.Feed("id: 1\nda"));
  CHECK_EQUAL("id: 1\ndata: a\n\n", stream.Feed("ta: a\n\nid: 2"));
  CHECK_EQUAL("1", *stream.last_id());
  CHECK_EQUAL("id: 2", std::string(stream.rest()));
  CHECK(stream.WithinEvent());
}

TEST(EventStreamFilter, RepeatedEventsOfAResumedStreamAreDropped) {
  stream.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  stream.Restart();
  CHECK_EQUAL("id: 3\ndata: c\n\n",
              stream.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
}

TEST(EventStreamFilter, BothKindsOfLineEndsEndAnEvent) {
  CHECK_EQUAL("id: 1\r\ndata: a\r\n\r\n",
              stream.Feed("id: 1\r\ndata: a\r\n\r\n"));
  CHECK_EQUAL("1", *stream.last_id());
}

TEST_GROUP(TargetSelector) {
  fakes::virtual_time time;
  common::seeded_random random{3};
  core::target_directory targets;
  std::vector<core::prompt_part> parts = {
      {"shared", 2500}, {"session", 3800}, {"own", 2900}};

  void setup() override {
    for (int i = 0; i < 6; ++i) {
      core::target_entry entry;
      entry.id = "t" + std::to_string(i);
      entry.service = "engine";
      entry.address = "10.0.0." + std::to_string(i) + ":1";
      entry.data_centre = i % 2 == 0 ? "a" : "b";
      targets.Update(entry);
    }
  }

  core::selection_context Context() {
    core::selection_context context;
    context.service = "engine";
    context.parts = parts;
    context.prompt_tokens = 9200;
    return context;
  }

  core::target_selector Selector() {
    return {core::target_selector_options(), targets, time, random, "a"};
  }
};

TEST(TargetSelector, AllGatewaysSendASharedPrefixToTheSameTarget) {
  core::target_selector first = Selector();
  core::target_selector peer = Selector();
  const std::string affinity_target = first.Choose(Context()).target->entry.id;
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(affinity_target, first.Choose(Context()).target->entry.id);
    CHECK_EQUAL(affinity_target, peer.Choose(Context()).target->entry.id);
  }
}

TEST(TargetSelector, ABusyAffinityTargetIsSkipped) {
  core::target_selector selector = Selector();
  const std::shared_ptr<core::fleet_target> affinity_target =
      selector.Choose(Context()).target;
  affinity_target->outstanding_tokens = 50000;
  CHECK(selector.Choose(Context()).target != affinity_target);
}

TEST(TargetSelector, LargeInputsDetermineTheDataCentre) {
  parts.clear();
  core::target_selector selector = Selector();
  core::selection_context context = Context();
  context.input_bytes["b"] = 7500000;
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL("b", selector.Choose(context).target->entry.data_centre);
  }
}

TEST(TargetSelector, EjectedTargetsAreTriedLast) {
  core::target_selector selector = Selector();
  for (int i = 0; i < 5; ++i) {
    targets.Find("t" + std::to_string(i))->ejected_until =
        time.Now() + std::chrono::seconds(1);
  }
  CHECK_EQUAL("t5", selector.Choose(Context()).target->entry.id);
  const std::vector<std::string> tried = {"t5"};
  core::selection_context context = Context();
  context.tried = tried;
  CHECK(selector.Choose(context).target != nullptr);
}
