#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

/// Benchmarks that also count heap allocations.
namespace wisteriadale::benchmarks {

/// Heap allocations of the process.
struct allocation_count {
  uint64_t allocations = 0;
  uint64_t bytes = 0;
};

/// @return the allocations since the process started
allocation_count Allocations();

/// Counts the allocations between its construction and its destruction and adds
/// the mean number and bytes per iteration to the benchmark's counters.
class allocation_meter {
 public:
  explicit allocation_meter(benchmark::State& state)
      : state_(state), before_(Allocations()) {}
  allocation_meter(const allocation_meter&) = delete;
  allocation_meter& operator=(const allocation_meter&) = delete;

  ~allocation_meter() {
    const allocation_count after = Allocations();
    const double iterations = static_cast<double>(state_.iterations());
    state_.counters["allocs"] =
        static_cast<double>(after.allocations - before_.allocations) /
        iterations;
    state_.counters["bytes"] =
        static_cast<double>(after.bytes - before_.bytes) / iterations;
  }

 private:
  benchmark::State& state_;
  allocation_count before_;
};

}  // namespace wisteriadale::benchmarks
