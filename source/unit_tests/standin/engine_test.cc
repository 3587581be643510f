#include "standin/engine.h"

#include <CppUTest/TestHarness.h>

#include "standin/server_pool.h"
#include "standin/weight_store.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Engine) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  standin::target_options options;
  standin::target_faults faults;
  standin::target_counts counts;
  standin::prefix_cache cache{2, 0, time, random};
  standin::engine subject{options, faults, counts, cache, time};
  uint64_t next_id = 1;
  int ended = 0;
  int last_ended_priority = 0;

  void setup() override {
    options.prefill_us = 1000;
    options.cached_prefill = 0.1;
    options.step_us = 100;
    options.step_sequence_us = 10;
    options.batch_limit = 2;
  }

  uint64_t Submit(uint32_t steps, const std::string& prefix_key = "",
                  int priority = 0) {
    standin::job work;
    work.id = next_id++;
    work.steps = steps;
    work.prefix_key = prefix_key;
    work.priority = priority;
    work.on_step = [] {};
    work.on_end = [this, priority] {
      ++ended;
      last_ended_priority = priority;
    };
    subject.Submit(work);
    return work.id;
  }

  int64_t TimeToEnd(int count) {
    const common::time_point start = time.Now();
    while (ended < count) time.Advance(common::duration(1));
    return (time.Now() - start).count();
  }
};

TEST(Engine, OneSequencePaysItsPrefillOnce) {
  Submit(3);
  LONGS_EQUAL(1000 + 3 * 110, TimeToEnd(1));
}

TEST(Engine, SequencesOfABatchShareItsSteps) {
  Submit(2);
  Submit(2);
  // The second one joins after the first step.
  LONGS_EQUAL((1000 + 110) + (1000 + 120) + 110, TimeToEnd(2));
  DOUBLES_EQUAL(2340, counts.busy_us, 0.1);
}

TEST(Engine, ACachedPrefixSavesPrefill) {
  Submit(1, "p");
  TimeToEnd(1);
  Submit(1, "p");
  LONGS_EQUAL(100 + 110, TimeToEnd(2));
  LONGS_EQUAL(1, counts.cache_hits);
}

TEST(Engine, TheBatchIsLimitedAndPriorityGoesFirst) {
  Submit(1);
  Submit(1, "", -1);
  Submit(1, "", 1);
  Submit(1, "", 0);
  TimeToEnd(4);
  LONGS_EQUAL(-1, last_ended_priority);
}

TEST(Engine, RemovedWorkIsWasted) {
  const uint64_t id = Submit(5);
  subject.Remove(id);
  time.Advance(std::chrono::seconds(1));
  LONGS_EQUAL(0, ended);
  DOUBLES_EQUAL(1110, counts.wasted_us, 0.1);
  DOUBLES_EQUAL(1110, counts.busy_us, 0.1);
}

TEST(Engine, ASlowTargetTakesItsFactor) {
  faults.slow_factor = 3;
  Submit(1);
  LONGS_EQUAL(3 * 1110, TimeToEnd(1));
}

TEST(Engine, EventsAreLateAndTheLeastRecentPrefixGoes) {
  cache.Touch("a");
  cache.Touch("b");
  cache.Touch("a");
  cache.Touch("c");
  CHECK(cache.Events(0, std::chrono::milliseconds(5)).empty());
  time.Advance(std::chrono::milliseconds(5));
  const std::vector<standin::cache_event> events =
      cache.Events(2, std::chrono::milliseconds(5));
  LONGS_EQUAL(2, events.size());
  STRCMP_EQUAL("b", events[0].prefix_key.c_str());
  CHECK_FALSE(events[0].stored);
  CHECK(cache.Touch("a"));
}

TEST(Engine, APoolServesAFewCallsAtOneTime) {
  options.parallel = 2;
  standin::server_pool pool(options, faults, counts, time);
  for (int i = 0; i < 3; ++i) {
    standin::job work;
    work.id = next_id++;
    work.service = common::duration(100);
    work.on_end = [this] { ++ended; };
    pool.Submit(work);
  }
  LONGS_EQUAL(2, pool.running());
  LONGS_EQUAL(1, pool.queued());
  LONGS_EQUAL(200, TimeToEnd(3));
  DOUBLES_EQUAL(150, counts.busy_us, 0.1);
}

TEST(Engine, WeightsArriveOneModelAfterAnother) {
  standin::weight_store weights(time, time, 1000, 1000000);
  weights.Load([this] { ++ended; });
  weights.Load([this] { ++ended; });
  LONGS_EQUAL(2000, TimeToEnd(2));
}
