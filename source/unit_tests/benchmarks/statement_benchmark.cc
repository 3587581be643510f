#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "core/fleet/target_statements.h"
#include "core/limits/recent_sends.h"
#include "unit_tests/benchmarks/allocation_count.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::benchmarks {
namespace {

std::vector<core::target_entry> Targets(int64_t count) {
  std::vector<core::target_entry> targets;
  for (int64_t i = 0; i < count; ++i) {
    core::target_entry target;
    target.id = "target-" + std::to_string(i);
    target.service = "service";
    target.address = "10.0.0.1:" + std::to_string(i);
    targets.push_back(target);
  }
  return targets;
}

/// A response that says nothing of its target, while a tenth of the targets
/// back off.
void ResponseWithoutStatement(benchmark::State& state) {
  fakes::virtual_time time;
  core::target_directory directory;
  core::target_statements statements(directory, time);
  const std::vector<core::target_entry> targets = Targets(state.range(0));
  core::target_statement back_off;
  back_off.back_off = std::chrono::hours(1);
  for (size_t i = 0; i < targets.size(); i += 10) {
    statements.OnResponse(targets[i], back_off, "");
  }
  size_t next = 0;
  const allocation_meter meter(state);
  for (auto unused : state) {
    const core::target_entry& target = targets[next++ % targets.size()];
    core::target_statement statement;
    core::ParseLeaving({}, &statement);
    statements.OnResponse(target, statement, "");
    benchmark::DoNotOptimize(statements.BackOffLeft(target));
  }
}

/// Counting a request that is sent to a target without a limit.
void SendToTargetWithoutLimit(benchmark::State& state) {
  fakes::virtual_time time;
  core::recent_sends sends;
  const std::vector<core::target_entry> targets = Targets(state.range(0));
  size_t next = 0;
  const allocation_meter meter(state);
  for (auto unused : state) {
    time.Advance(common::duration(100));
    sends.Note(targets[next++ % targets.size()].id, time.Now());
  }
}

BENCHMARK(ResponseWithoutStatement)->Arg(18)->Arg(370)->Arg(3700);
BENCHMARK(SendToTargetWithoutLimit)->Arg(18)->Arg(370)->Arg(3700);

}  // namespace
}  // namespace wisteriadale::benchmarks
