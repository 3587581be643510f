#include "core/admission/fair_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(FairQueue) {
  core::fair_queue queue{{}};
  core::queue_load load;
  int next_id = 0;

  void setup() override {
    load.service_time = milliseconds(10);
    load.limit = 1;
    load.running = 1;
  }

  core::queued_attempt Attempt(const std::string& organisation,
                               int deadline_ms = 5000, uint32_t weight = 1) {
    core::queued_attempt attempt;
    attempt.id = organisation + std::to_string(next_id++);
    attempt.organisation = organisation;
    attempt.weight = weight;
    attempt.deadline = load.now + milliseconds(deadline_ms);
    return attempt;
  }

  bool Offer(const core::queued_attempt& attempt) {
    if (queue.Refusal(attempt, load)) return false;
    queue.Push(attempt);
    return true;
  }

  std::map<std::string, int> PopCounts(int dispatches) {
    std::map<std::string, int> counts;
    for (int i = 0; i < dispatches; ++i) {
      const std::optional<core::queued_attempt> popped = queue.Pop(load);
      if (popped) ++counts[popped->organisation];
    }
    return counts;
  }
};

TEST(FairQueue, BurstOfOneOrganisationDoesNotDelayAnother) {
  for (int i = 0; i < 50; ++i) Offer(Attempt("greedy"));
  CHECK(Offer(Attempt("modest")));
  // It is dispatched first or second, not after the burst.
  CHECK_EQUAL(1, PopCounts(2)["modest"]);
}

TEST(FairQueue, FullQueueOfOneOrganisationDoesNotBlockAnother) {
  int accepted = 0;
  for (int i = 0; i < 200; ++i) accepted += Offer(Attempt("greedy")) ? 1 : 0;
  CHECK_EQUAL(64, accepted);
  CHECK(Offer(Attempt("modest")));
}

TEST(FairQueue, DispatchesAreProportionalToWeights) {
  for (int i = 0; i < 30; ++i) queue.Push(Attempt("large", 5000, 3));
  for (int i = 0; i < 30; ++i) queue.Push(Attempt("small", 5000, 1));
  const std::map<std::string, int> counts = PopCounts(20);
  CHECK_EQUAL(15, counts.at("large"));
  CHECK_EQUAL(5, counts.at("small"));
}

TEST(FairQueue, EarliestDeadlineOfAnOrganisationRunsFirst) {
  queue.Push(Attempt("a", 900));
  queue.Push(Attempt("a", 100));
  STRCMP_EQUAL("a1", queue.Pop(load)->id.c_str());
}

TEST(FairQueue, RefusesAttemptsThatCannotMeetTheirDeadline) {
  CHECK(Offer(Attempt("a", 20)));         // waits 10 ms, runs 10 ms
  CHECK(!Offer(Attempt("b", 15)));        // would end after its deadline
  load.service_time = milliseconds(300);  // the target slowed
  CHECK(!Offer(Attempt("b", 400)));
}

TEST(FairQueue, ExpiredAttemptsAreRemoved) {
  queue.Push(Attempt("a", 10));
  queue.Push(Attempt("b", 20));
  queue.Push(Attempt("b", 500));
  CHECK_EQUAL(2, static_cast<int>(
                     queue.RemoveExpired(load.now + milliseconds(20)).size()));
  CHECK_EQUAL(1, static_cast<int>(queue.size()));
}

TEST(FairQueue, DeferrableAttemptsAreNeitherDroppedNorStarved) {
  load.service_time = milliseconds(100);
  for (int i = 0; i < 500; ++i) {
    core::queued_attempt quote = Attempt("quotes", 60000);
    quote.deferrable = true;
    CHECK(Offer(quote));
  }
  for (int i = 0; i < 40; ++i) queue.Push(Attempt("urgent"));
  const std::map<std::string, int> counts = PopCounts(40);
  CHECK_EQUAL(36, counts.at("urgent"));
  CHECK_EQUAL(4, counts.at("quotes"));
}

TEST(FairQueue, ErasedAttemptsAreNotDispatched) {
  queue.Push(Attempt("a"));
  queue.Push(Attempt("b"));
  CHECK(queue.Erase("a0"));
  CHECK(!queue.Erase("a0"));
  STRCMP_EQUAL("b1", queue.Pop(load)->id.c_str());
  CHECK(!queue.Pop(load).has_value());
}
