#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

#include "unit_tests/benchmarks/allocation_count.h"

namespace {

wisteriadale::benchmarks::allocation_count total;

}  // namespace

namespace wisteriadale::benchmarks {

allocation_count Allocations() { return total; }

}  // namespace wisteriadale::benchmarks

void* operator new(size_t size) {
  ++total.allocations;
  total.bytes += size;
  void* memory = std::malloc(size);
  if (memory == nullptr) std::abort();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }

BENCHMARK_MAIN();
