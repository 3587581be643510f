#include "core/operations/rate_limited_table.h"

#include <functional>
#include <memory>
#include <vector>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

using core::table_priority;
using core::table_status;

constexpr common::duration kSecond = std::chrono::seconds(1);

}  // namespace

TEST_GROUP(RateLimitedTable) {
  fakes::virtual_time time;
  common::seeded_random random{11};
  fakes::fake_table inner{time, random};
  core::table_rate_limit rate_limit;
  std::unique_ptr<core::rate_limited_table> table;
  uint64_t ok = 0;
  uint64_t refused = 0;
  uint64_t unavailable = 0;

  void setup() override {
    rate_limit.reads_per_second = 100;
    rate_limit.writes_per_second = 20;
    Make();
  }

  void Make() {
    table = std::make_unique<core::rate_limited_table>(inner, rate_limit, time,
                                                       time, random);
  }

  void CountResult(table_status status) {
    if (status == table_status::kOk) ++ok;
    if (status == table_status::kRefused) ++refused;
    if (status == table_status::kUnavailable) ++unavailable;
  }

  void Read(table_priority priority, int times = 1) {
    for (int i = 0; i < times; ++i) {
      table->Read("row", priority, [this](const core::table_result& answer) {
        CountResult(answer.status);
      });
    }
  }

  void Write(table_priority priority) {
    table->Write("other", 1000, "value", priority,
                 [this](const core::table_result& answer) {
                   CountResult(answer.status);
                 });
  }
};

TEST(RateLimitedTable, CallsStayBelowTheRateLimit) {
  for (int second = 0; second < 10; ++second) {
    Read(table_priority::kOperations, 500);
    for (int i = 0; i < 100; ++i) Write(table_priority::kOperations);
    time.Advance(kSecond);
  }
  // The burst and nine refills.
  CHECK(inner.reads <= 100 + 9 * 100);
  CHECK(inner.writes <= 20 + 9 * 20);
  CHECK(inner.reads >= 950);
  LONGS_EQUAL(6000 - inner.reads - inner.writes, refused);
}

TEST(RateLimitedTable, OperationsHaveReservedCapacity) {
  Read(table_priority::kOther, 200);
  time.Advance(common::duration(1000));
  LONGS_EQUAL(30, inner.reads);
  Read(table_priority::kConfiguration, 200);
  time.Advance(common::duration(1000));
  LONGS_EQUAL(50, inner.reads);
  Read(table_priority::kOperations, 50);
  time.Advance(common::duration(1000));
  LONGS_EQUAL(100, inner.reads);
}

TEST(RateLimitedTable, RefusedCallsAreNeverSentAndAnswerLater) {
  rate_limit.reads_per_second = 0;
  Make();
  Read(table_priority::kOperations);
  LONGS_EQUAL(0, refused);
  time.Advance(common::duration(1000));
  LONGS_EQUAL(1, refused);
  LONGS_EQUAL(0, inner.reads);
}

TEST(RateLimitedTable, BackoffReducesCallsToAFailingPlatform) {
  inner.down = true;
  inner.timeout = std::chrono::milliseconds(1);
  // One caller that retries at once, as a waiting operation does.
  std::function<void()> retry = [&] {
    table->Read("row", table_priority::kOperations,
                [&](const core::table_result& answer) {
                  CountResult(answer.status);
                  if (inner.down) retry();
                });
  };
  retry();
  time.Advance(10 * kSecond);
  // Without back-off the calls would reach the rate limit, 1,000 and more.
  CHECK(inner.reads < 60);
  inner.down = false;
  time.Advance(3 * kSecond);
  LONGS_EQUAL(0, table->failures());
}

TEST(RateLimitedTable, RecoveryCausesNoBurst) {
  constexpr int kProcesses = 50;
  std::vector<std::unique_ptr<core::rate_limited_table>> tables;
  inner.down = true;
  inner.timeout = std::chrono::milliseconds(10);
  std::vector<std::function<void()>> pollers(kProcesses);
  for (int i = 0; i < kProcesses; ++i) {
    tables.push_back(std::make_unique<core::rate_limited_table>(
        inner, rate_limit, time, time, random));
    pollers[i] = [&, i] {
      tables[i]->Read("row", table_priority::kConfiguration,
                      [&, i](const core::table_result& answer) {
                        CountResult(answer.status);
                        if (answer.status != table_status::kOk) pollers[i]();
                      });
    };
    pollers[i]();
  }
  time.Advance(20 * kSecond);
  inner.down = false;
  const uint64_t before = inner.reads;
  uint64_t max_reads = 0;
  uint64_t last = before;
  for (int step = 0; step < 40; ++step) {
    time.Advance(std::chrono::milliseconds(50));
    max_reads = std::max(max_reads, inner.reads - last);
    last = inner.reads;
  }
  // All have recovered, and no 50 ms interval had over a quarter of them.
  CHECK(ok >= kProcesses);
  CHECK(max_reads <= kProcesses / 4);
}
