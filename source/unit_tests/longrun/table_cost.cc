// Cost of the ways to run an operation at most once, on a table service that
// takes a fixed number of transactions a second, under virtual time.
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
DEFINE_uint64(transactions, 300, "transactions that the table takes a second");
DEFINE_uint64(routers, 3, "routers, each with its own batches");

namespace {

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

constexpr common::duration kLength = std::chrono::seconds(20);
constexpr double kMicrosPerSecond = 1e6;

/// Serves one transaction after the other.
class limited_table final : public core::table {
 public:
  limited_table(core::table& rows, fakes::virtual_time& time)
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
    const common::duration each(static_cast<int64_t>(
        kMicrosPerSecond / static_cast<double>(FLAGS_transactions)));
    free_at_ = std::max(free_at_, time_.Now()) + each;
    time_.Schedule(free_at_ - time_.Now(), std::move(serve));
  }

  core::table& rows_;
  fakes::virtual_time& time_;
  common::time_point free_at_;
};

/// Runs operations of a number of writes each, one after the other.
void Measure(const char* way, uint32_t writes_each, bool batched, double rate) {
  fakes::virtual_time time;
  common::seeded_random random(FLAGS_seed);
  fakes::fake_table rows(time, random);
  limited_table limited(rows, time);
  std::vector<std::unique_ptr<core::batching_table>> routers;
  for (uint64_t i = 0; i < FLAGS_routers; ++i) {
    routers.push_back(std::make_unique<core::batching_table>(
        core::batching_table_options(), limited));
  }
  std::vector<int64_t> took;
  uint64_t number = 0;
  std::function<void(std::string, uint32_t, common::time_point)> write;
  write = [&](const std::string& key, uint32_t version,
              common::time_point begun) {
    core::table& to =
        batched ? static_cast<core::table&>(*routers[number % FLAGS_routers])
                : limited;
    to.Write(key, version, std::string(300, 'x'),
             core::table_priority::kOperations,
             [&, key, version, begun](const core::table_result&) {
               if (version + 1 < writes_each) {
                 write(key, version + 1, begun);
               } else {
                 took.push_back((time.Now() - begun).count());
               }
             });
  };
  std::function<void()> arrive = [&] {
    write("operations/parks/" + std::to_string(++number), 0, time.Now());
    const double gap = 2 * random.Uniform() * kMicrosPerSecond / rate;
    time.Schedule(common::duration(1 + static_cast<int64_t>(gap)), arrive);
  };
  arrive();
  time.Advance(kLength);
  std::sort(took.begin(), took.end());
  const double seconds =
      static_cast<double>(kLength.count()) / kMicrosPerSecond;
  const auto at = [&took](double share) {
    if (took.empty()) return 0.0;
    const size_t last = took.size() - 1;
    return static_cast<double>(
               took[static_cast<size_t>(share * static_cast<double>(last))]) /
           1000;
  };
  std::printf("%-28s %6.0f %9.0f %9.0f %9.1f %9.1f\n", way, rate,
              static_cast<double>(took.size()) / seconds,
              static_cast<double>(rows.writes) / seconds, at(0.5), at(0.99));
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
