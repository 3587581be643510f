#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

/// Counting of allocations in the benchmark program.
namespace wisteriadale::benchmarks {

/// Allocations of this thread so far.
struct allocation_count {
  uint64_t allocations = 0;
  uint64_t bytes = 0;
};

allocation_count Allocations();

/// Adds allocations and allocated bytes for each iteration to a benchmark's
/// counters, from its construction to its destruction.
class allocation_meter {
 public:
  explicit allocation_meter(benchmark::State& state)
      : state_(state), before_(Allocations()) {}
  allocation_meter(const allocation_meter&) = delete;
  allocation_meter& operator=(const allocation_meter&) = delete;

  ~allocation_meter() {
    const allocation_count now = Allocations();
    const double runs = static_cast<double>(state_.iterations());
    state_.counters["allocs"] =
        static_cast<double>(now.allocations - before_.allocations) / runs;
    state_.counters["bytes"] =
        static_cast<double>(now.bytes - before_.bytes) / runs;
  }

 private:
  benchmark::State& state_;
  allocation_count before_;
};

}  // namespace wisteriadale::benchmarks
