#include <benchmark/benchmark.h>

#include <string>

#include "core/routing/baselines.h"
#include "core/routing/target_table.h"
#include "core/routing/two_choices.h"
#include "unit_tests/benchmarks/allocation_count.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::benchmarks {
namespace {

constexpr size_t kSubsetSize = 64;
constexpr int kDataCentres = 13;
constexpr int kRouters = 100;

/// A pool of connected targets with its routing policy. The subset and the
/// policy's first choice are already made.
struct routing_fixture {
  explicit routing_fixture(int64_t count) {
    for (int64_t i = 0; i < count; ++i) {
      core::target_view* view =
          targets.FindOrCreate("target-" + std::to_string(i), "model",
                               "dc" + std::to_string(i % kDataCentres));
      view->connected = true;
      view->load.limit = 16;
      view->load.in_flight = static_cast<uint32_t>(i % 16);
    }
    std::vector<core::router_entry> routers;
    routers.reserve(kRouters);
    for (int i = 0; i < kRouters; ++i) {
      routers.push_back({"router-" + std::to_string(i),
                         "dc" + std::to_string(i % kDataCentres)});
    }
    subset.SetRouters(routers);
    time.Advance(std::chrono::hours(1));
    request.pool = "model";
    policy.Choose(*targets.Pool("model"), request);
  }

  fakes::virtual_time time;
  common::seeded_random random{1};
  core::target_table targets;
  core::target_subset subset{{"router-0", "dc0"}, kSubsetSize};
  core::prefix_hints hints{time, std::chrono::seconds(60), 65536};
  core::two_choices policy{time, random, subset, hints, {"dc0"}};
  core::routing_request request;
};

void MeasureChoices(benchmark::State& state, core::routing_policy* policy,
                    const routing_fixture& fixture) {
  const core::target_pool& pool = *fixture.targets.Pool("model");
  const allocation_meter meter(state);
  for (auto unused : state) {
    benchmark::DoNotOptimize(policy->Choose(pool, fixture.request));
  }
}

void TwoChoices(benchmark::State& state) {
  routing_fixture fixture(state.range(0));
  MeasureChoices(state, &fixture.policy, fixture);
}

void TwoChoicesWithPrefix(benchmark::State& state) {
  routing_fixture fixture(state.range(0));
  fixture.request.prefix_key = "0123456789abcdef";
  MeasureChoices(state, &fixture.policy, fixture);
}

void LeastOutstanding(benchmark::State& state) {
  routing_fixture fixture(state.range(0));
  core::least_outstanding policy(fixture.random);
  MeasureChoices(state, &policy, fixture);
}

/// Recomputes the subset, as after a target was added or removed.
void SubsetAfterAChange(benchmark::State& state) {
  routing_fixture fixture(state.range(0));
  core::target_pool pool = *fixture.targets.Pool("model");
  const allocation_meter meter(state);
  for (auto unused : state) {
    ++pool.version;
    benchmark::DoNotOptimize(fixture.subset.SubsetFor(pool));
  }
}

BENCHMARK(TwoChoices)->Arg(8)->Arg(50)->Arg(500)->Arg(3700);
BENCHMARK(TwoChoicesWithPrefix)->Arg(8)->Arg(50)->Arg(500)->Arg(3700);
BENCHMARK(LeastOutstanding)->Arg(8)->Arg(50)->Arg(500)->Arg(3700);
BENCHMARK(SubsetAfterAChange)->Arg(8)->Arg(50)->Arg(500)->Arg(3700);

}  // namespace
}  // namespace wisteriadale::benchmarks
