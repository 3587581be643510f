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
  core::attempt_context question;

  void setup() override {
    question.attempts = 1;
    question.max_attempts = 2;
  }

  next_step After(attempt_outcome end) {
    question.end = end;
    question.may_have_run =
        end == attempt_outcome::kLost || end == attempt_outcome::kFailed;
    return core::DecideNextStep(question);
  }
};

TEST(AttemptRules, WhatMayHaveRunAndMustNotRepeatIsNeverSentAgain) {
  CHECK(After(attempt_outcome::kLost) == next_step::kUnknown);
  CHECK(After(attempt_outcome::kFailed) == next_step::kForwardFailure);
}

TEST(AttemptRules, WhatDidNotRunIsSentAgainWithinItsBounds) {
  CHECK(After(attempt_outcome::kNotRun) == next_step::kRetry);
  question.attempts = 2;
  CHECK(After(attempt_outcome::kNotRun) == next_step::kNotRun);
}

TEST(AttemptRules, NotRunIsNotSaidAfterAnEarlierAttemptMayHaveRun) {
  question.end = attempt_outcome::kNotRun;
  question.may_have_run = true;
  question.attempts = 2;
  CHECK(core::DecideNextStep(question) == next_step::kUnknown);
}

TEST(AttemptRules, AnIdempotentRequestRepeatsWhileTheBudgetLasts) {
  question.retryable = true;
  CHECK(After(attempt_outcome::kLost) == next_step::kRetry);
  question.budget_left = false;
  CHECK(After(attempt_outcome::kLost) == next_step::kUnknown);
}

TEST(AttemptRules, ADialThatFailsTakesNoAttemptAndNoBudget) {
  question.attempts = 2;
  question.budget_left = false;
  CHECK(After(attempt_outcome::kNotSent) == next_step::kRetry);
  question.targets_left = false;
  CHECK(After(attempt_outcome::kNotSent) == next_step::kNotRun);
}

TEST_GROUP(RepeatBudget) {
  fakes::virtual_time time;
  core::gateway_retry_budget_options options;

  int Taken(core::gateway_retry_budget * budget) {
    int taken = 0;
    while (taken < 1000 && budget->TryAcquire("plain")) ++taken;
    return taken;
  }
};

TEST(RepeatBudget, GatewaysTogetherStayWithinTheBudget) {
  constexpr int kGateways = 5;
  constexpr int kRequests = 100;
  int taken = 0;
  for (int i = 0; i < kGateways; ++i) {
    core::gateway_retry_budget budget(options, time);
    budget.SetGateways(kGateways);
    for (int request = 0; request < kRequests; ++request) {
      budget.OnRequest("plain");
    }
    taken += Taken(&budget);
  }
  CHECK(taken > 50);
  CHECK(taken <= options.ratio * kRequests * kGateways + options.reserve);
}

TEST(RepeatBudget, NoWindowHoldsMoreThanItsShare) {
  core::gateway_retry_budget budget(options, time);
  std::vector<int> taken;
  for (int second = 0; second < 40; ++second) {
    for (int request = 0; request < 10; ++request) budget.OnRequest("plain");
    taken.push_back(Taken(&budget));
    time.Advance(std::chrono::seconds(1));
  }
  for (size_t at = 0; at + 10 <= taken.size(); ++at) {
    int window = 0;
    for (size_t i = at; i < at + 10; ++i) window += taken[i];
    CHECK(window <= options.ratio * 100 + options.reserve);
  }
}

TEST_GROUP(EventStream) { core::event_stream_filter stream; };

TEST(EventStream, OnlyWholeEventsArePassedOn) {
  CHECK_EQUAL("", stream.Feed("id: 1\nda"));
  CHECK_EQUAL("id: 1\ndata: a\n\n", stream.Feed("ta: a\n\nid: 2"));
  CHECK_EQUAL("1", *stream.last_id());
  CHECK_EQUAL("id: 2", std::string(stream.rest()));
}

TEST(EventStream, WhatTheNextRunRepeatsIsLeftOut) {
  stream.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  stream.Restart();
  CHECK_EQUAL("id: 3\ndata: c\n\n",
              stream.Feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
}

TEST(EventStream, LineEndsOfBothKindsEndAnEvent) {
  CHECK_EQUAL("id: 1\r\ndata: a\r\n\r\n",
              stream.Feed("id: 1\r\ndata: a\r\n\r\n"));
  CHECK_EQUAL("1", *stream.last_id());
}

TEST_GROUP(TargetChoice) {
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

  core::selection_context Question() {
    core::selection_context question;
    question.service = "engine";
    question.parts = parts;
    question.prompt_tokens = 9200;
    return question;
  }

  core::target_selector Choice() {
    return {core::target_selector_options(), targets, time, random, "a"};
  }
};

TEST(TargetChoice, AllGatewaysSendASharedBeginningToOneHome) {
  core::target_selector one = Choice();
  core::target_selector other = Choice();
  const std::string home = one.Choose(Question())->entry.id;
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL(home, one.Choose(Question())->entry.id);
    CHECK_EQUAL(home, other.Choose(Question())->entry.id);
  }
}

TEST(TargetChoice, ABusyHomeIsPassedOver) {
  core::target_selector choice = Choice();
  const std::shared_ptr<core::fleet_target> home = choice.Choose(Question());
  home->outstanding_tokens = 50000;
  CHECK(choice.Choose(Question()) != home);
}

TEST(TargetChoice, LargeInputsDecideTheDataCentre) {
  parts.clear();
  core::target_selector choice = Choice();
  core::selection_context question = Question();
  question.input_bytes["b"] = 7500000;
  for (int i = 0; i < 10; ++i) {
    CHECK_EQUAL("b", choice.Choose(question)->entry.data_centre);
  }
}

TEST(TargetChoice, TargetsThatFailedAreAskedLast) {
  core::target_selector choice = Choice();
  for (int i = 0; i < 5; ++i) {
    targets.Find("t" + std::to_string(i))->ejected_until =
        time.Now() + std::chrono::seconds(1);
  }
  CHECK_EQUAL("t5", choice.Choose(Question())->entry.id);
  const std::vector<std::string> tried = {"t5"};
  core::selection_context question = Question();
  question.tried = tried;
  CHECK(choice.Choose(question) != nullptr);
}
