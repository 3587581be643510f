#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "core/fleet/queue_owner.h"
#include "core/limits/slot_schedule.h"
#include "core/limits/target_limits.h"
#include "unit_tests/benchmarks/allocation_count.h"
#include "unit_tests/fakes/virtual_time.h"
#include "wire/gateway_codec.h"

namespace wisteriadale::benchmarks {
namespace {

/// Whether a target has a limit, with all targets limited: once for each target
/// that a request may go to.
void LimitLookup(benchmark::State& state) {
  fakes::virtual_time time;
  core::target_limits limits(time);
  std::vector<core::target_entry> targets;
  for (int64_t i = 0; i < state.range(0); ++i) {
    core::target_entry target;
    target.id = "target-" + std::to_string(i);
    limits.OnResponse(
        target, {{core::limit_statement::kNamed, 2}, time.Now(), true}, "");
    targets.push_back(target);
  }
  size_t next = 0;
  const allocation_meter meter(state);
  for (auto unused : state) {
    const core::target_entry& target = targets[next++ % targets.size()];
    benchmark::DoNotOptimize(limits.LimitOf(target.id, target.started_ms));
  }
}

/// Decision of an owner, without the log line.
void SlotReservation(benchmark::State& state) {
  fakes::virtual_time time;
  core::slot_schedule schedule(time);
  std::vector<std::string> targets;
  for (int64_t i = 0; i < state.range(0); ++i) {
    targets.push_back("target-" + std::to_string(i));
  }
  size_t next = 0;
  const allocation_meter meter(state);
  for (auto unused : state) {
    time.Advance(common::duration(100));
    benchmark::DoNotOptimize(schedule.Reserve(targets[next++ % targets.size()],
                                              2, std::chrono::seconds(1)));
  }
}

/// Choice of the owner among all gateways, and the view digest.
void OwnerOfSlots(benchmark::State& state) {
  std::vector<core::owner_candidate> gateways;
  for (int64_t i = 0; i < state.range(0); ++i) {
    gateways.push_back({"gateway-" + std::to_string(i), 1, false});
  }
  const allocation_meter meter(state);
  for (auto unused : state) {
    benchmark::DoNotOptimize(core::ChooseQueueOwner(gateways, "target-1"));
    benchmark::DoNotOptimize(core::ViewDigest(gateways));
  }
}

/// A request for a slot and its reply, encoded and decoded; counts their bytes.
void SlotMessages(benchmark::State& state) {
  const core::slot_request request{1ULL << 20,
                                   "i-c951f0d330",
                                   1788506604039,
                                   1.2,
                                   common::milliseconds(1000),
                                   common::milliseconds(0)};
  const core::slot_reply reply{1ULL << 20, core::slot_verdict::kGranted,
                               common::milliseconds(420)};
  size_t bytes = 0;
  for (auto unused : state) {
    const std::string asked = wire::EncodeGatewayMessage(request);
    const std::string replied = wire::EncodeGatewayMessage(reply);
    benchmark::DoNotOptimize(wire::DecodeGatewayMessage(asked));
    benchmark::DoNotOptimize(wire::DecodeGatewayMessage(replied));
    bytes = asked.size() + replied.size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(LimitLookup)->Arg(18)->Arg(300)->Arg(3700);
BENCHMARK(SlotReservation)->Arg(18)->Arg(300)->Arg(3700);
BENCHMARK(OwnerOfSlots)->Arg(5)->Arg(22)->Arg(1300);
BENCHMARK(SlotMessages);

}  // namespace
}  // namespace wisteriadale::benchmarks
