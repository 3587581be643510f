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
  int finished = 0;
  int last_finished_priority = 0;

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
      ++finished;
      last_finished_priority = priority;
    };
    subject.Submit(work);
    return work.id;
  }

  /// Advances the time until `count` jobs have finished.
  /// @return the time that took, in microseconds
  int64_t RunUntilFinished(int count) {
    const common::time_point start = time.Now();
    while (finished < count) time.Advance(common::duration(1));
    return (time.Now() - start).count();
  }
};

TEST(Engine, PrefillIsChargedOnce) {
  Submit(3);
  LONGS_EQUAL(1000 + 3 * 110, RunUntilFinished(1));
}

TEST(Engine, SequencesOfABatchShareItsSteps) {
  Submit(2);
  Submit(2);
  // The second sequence joins after the first step.
  LONGS_EQUAL((1000 + 110) + (1000 + 120) + 110, RunUntilFinished(2));
  DOUBLES_EQUAL(2340, counts.busy_us, 0.1);
}

TEST(Engine, CacheHitShortensPrefill) {
  Submit(1, "p");
  RunUntilFinished(1);
  Submit(1, "p");
  LONGS_EQUAL(100 + 110, RunUntilFinished(2));
  LONGS_EQUAL(1, counts.cache_hits);
}

TEST(Engine, BatchIsBoundedAndOrderedByPriority) {
  Submit(1);
  Submit(1, "", -1);
  Submit(1, "", 1);
  Submit(1, "", 0);
  RunUntilFinished(4);
  LONGS_EQUAL(-1, last_finished_priority);
}

TEST(Engine, TimeOfARemovedJobIsWasted) {
  const uint64_t id = Submit(5);
  subject.Remove(id);
  time.Advance(std::chrono::seconds(1));
  LONGS_EQUAL(0, finished);
  DOUBLES_EQUAL(1110, counts.wasted_us, 0.1);
  DOUBLES_EQUAL(1110, counts.busy_us, 0.1);
}

TEST(Engine, SlowFactorMultipliesStepTime) {
  faults.slow_factor = 3;
  Submit(1);
  LONGS_EQUAL(3 * 1110, RunUntilFinished(1));
}

TEST(Engine, EventsAreDelayedAndEvictionIsLru) {
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

TEST(Engine, ServerPoolLimitsConcurrentCalls) {
  options.parallel = 2;
  standin::server_pool pool(options, faults, counts, time);
  for (int i = 0; i < 3; ++i) {
    standin::job work;
    work.id = next_id++;
    work.service = common::duration(100);
    work.on_end = [this] { ++finished; };
    pool.Submit(work);
  }
  LONGS_EQUAL(2, pool.running());
  LONGS_EQUAL(1, pool.queued());
  LONGS_EQUAL(200, RunUntilFinished(3));
  DOUBLES_EQUAL(150, counts.busy_us, 0.1);
}

TEST(Engine, WeightLoadsAreSequential) {
  standin::weight_store weights(time, time, 1000, 1000000);
  weights.Load([this] { ++finished; });
  weights.Load([this] { ++finished; });
  LONGS_EQUAL(2000, RunUntilFinished(2));
}
