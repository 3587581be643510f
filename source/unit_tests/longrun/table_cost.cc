// Compares the throughput and latency of ways to run an operation at most once,
// on a table service with a fixed number of transactions per second, under
// virtual time.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/operations/batching_table.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_uint64(transactions, 300,
              "capacity of the table in transactions per second");
DEFINE_uint64(routers, 3,
              "number of routers, each of which batches its own writes");

namespace {

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

constexpr common::duration kDuration = std::chrono::seconds(20);
constexpr double kMicrosPerSecond = 1e6;

/// A table that serves one transaction at a time, at the rate of
/// --transactions.
class fixed_rate_table final : public core::table {
 public:
  fixed_rate_table(core::table& rows, fakes::virtual_time& time)
      : rows_(rows), time_(time) {}

  void Write(std::string_view key, uint64_t version, std::string_view value,
             core::table_priority priority,
             core::table_handler handler) override {
    Queue([this, key = std::string(key), version, value = std::string(value),
           priority,
           handler] { rows_.Write(key, version, value, priority, handler); });
  }
  void WriteBatch(const std::vector<core::table_write>& writes,
                  core::table_priority priority,
                  core::table_batch_handler handler) override {
    Queue([this, writes, priority, handler] {
      rows_.WriteBatch(writes, priority, handler);
    });
  }
  void Read(std::string_view, core::table_priority,
            core::table_handler) override {}
  void List(std::string_view, uint32_t, core::table_priority,
            core::table_list_handler) override {}
  void ListAfter(std::string_view, std::string_view, uint32_t,
                 core::table_priority, core::table_list_handler) override {}

 private:
  void Queue(std::function<void()> serve) {
    const common::duration interval(static_cast<int64_t>(
        kMicrosPerSecond / static_cast<double>(FLAGS_transactions)));
    free_at_ = std::max(free_at_, time_.Now()) + interval;
    time_.Schedule(free_at_ - time_.Now(), std::move(serve));
  }

  core::table& rows_;
  fakes::virtual_time& time_;
  common::time_point free_at_;
};

/// Prints throughput and latency of operations that make a number of writes
/// each, one after the other. Operations arrive at random intervals,
/// whether or not earlier ones have ended (open loop).
/// @param rate mean number of operations that arrive per second
void Measure(const char* strategy, uint32_t writes_per_operation, bool batched,
             double rate) {
  fakes::virtual_time time;
  common::seeded_random random(FLAGS_seed);
  fakes::fake_table rows(time, random);
  fixed_rate_table limited_rows(rows, time);
  std::vector<std::unique_ptr<core::batching_table>> routers;
  for (uint64_t i = 0; i < FLAGS_routers; ++i) {
    routers.push_back(std::make_unique<core::batching_table>(
        core::batching_table_options(), limited_rows));
  }
  std::vector<int64_t> latencies_us;
  uint64_t number = 0;
  std::function<void(std::string, uint32_t, common::time_point)> write;
  write = [&](const std::string& key, uint32_t version,
              common::time_point started) {
    core::table& table =
        batched ? static_cast<core::table&>(*routers[number % FLAGS_routers])
                : limited_rows;
    table.Write(key, version, std::string(300, 'x'),
                core::table_priority::kOperations,
                [&, key, version, started](const core::table_result&) {
                  if (version + 1 < writes_per_operation) {
                    write(key, version + 1, started);
                  } else {
                    latencies_us.push_back((time.Now() - started).count());
                  }
                });
  };
  std::function<void()> arrive = [&] {
    write("operations/parks/" + std::to_string(++number), 0, time.Now());
    const double gap = 2 * random.Uniform() * kMicrosPerSecond / rate;
    time.Schedule(common::duration(1 + static_cast<int64_t>(gap)), arrive);
  };
  arrive();
  time.Advance(kDuration);
  std::sort(latencies_us.begin(), latencies_us.end());
  const double seconds =
      static_cast<double>(kDuration.count()) / kMicrosPerSecond;
  const auto percentile_ms = [&latencies_us](double quantile) {
    if (latencies_us.empty()) return 0.0;
    const size_t last = latencies_us.size() - 1;
    return static_cast<double>(latencies_us[static_cast<size_t>(
               quantile * static_cast<double>(last))]) /
           1000;
  };
  std::printf("%-28s %6.0f %9.0f %9.0f %9.1f %9.1f\n", strategy, rate,
              static_cast<double>(latencies_us.size()) / seconds,
              static_cast<double>(rows.writes) / seconds, percentile_ms(0.5),
              percentile_ms(0.99));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("%-28s %6s %9s %9s %9s %9s\n", "way", "asked", "done/s",
              "trans/s", "p50 ms", "p99 ms");
  for (const double rate : {50.0, 90.0, 140.0, 200.0, 1000.0, 4000.0}) {
    Measure("two writes by the router", 2, false, rate);
    Measure("a third one by the agent", 3, false, rate);
    Measure("two, batched", 2, true, rate);
  }
  return 0;
}
