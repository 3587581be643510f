// Randomised simulation of the production core with a simulated network, table
// and targets, under virtual time.
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "common/invariant.h"
#include "common/log.h"
#include "unit_tests/longrun/simulation.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds, one run each");
DEFINE_uint64(duration, 120, "seconds of virtual time with faults, for each");
DEFINE_string(seed_file, "", "also runs the seeds in this file, one a line");

namespace {

using wisteriadale::longrun::run_options;
using wisteriadale::longrun::run_report;
using wisteriadale::longrun::simulation;

void RunSeed(uint64_t seed) {
  run_options options;
  options.seed = seed;
  options.duration = std::chrono::seconds(FLAGS_duration);
  // Printed first, so that the seed is known when a violated invariant aborts
  // the process.
  std::printf("seed %llu:", static_cast<unsigned long long>(seed));
  std::fflush(stdout);
  simulation simulated(options);
  const run_report report = simulated.Run();
  std::printf(
      " sent %llu whole %llu not_run %llu unknown %llu done %llu "
      "router_lost %llu | faults %llu operations %llu in_doubt %llu "
      "beside_concurrent %llu reads %llu writes %llu\n",
      static_cast<unsigned long long>(report.callers.sent),
      static_cast<unsigned long long>(report.callers.complete),
      static_cast<unsigned long long>(report.callers.not_run),
      static_cast<unsigned long long>(report.callers.unknown),
      static_cast<unsigned long long>(report.callers.done_incomplete),
      static_cast<unsigned long long>(report.callers.lost_with_router),
      static_cast<unsigned long long>(report.faults),
      static_cast<unsigned long long>(report.operations_run),
      static_cast<unsigned long long>(report.rows_reserved_at_end),
      static_cast<unsigned long long>(report.not_run_during_concurrent_run),
      static_cast<unsigned long long>(report.table_reads),
      static_cast<unsigned long long>(report.table_writes));
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("[--seed=N] [--seeds=N] [--duration=SECONDS]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  wisteriadale::common::SetInvariantMode(
      wisteriadale::common::invariant_mode::kFatal);
  wisteriadale::common::log_options logging;
  logging.process = "wisteria-longrun";
  logging.level = wisteriadale::common::log_level::kError;
  wisteriadale::common::StartLogging(logging);
  std::vector<uint64_t> seeds;
  std::ifstream regressions(FLAGS_seed_file);
  for (uint64_t seed = 0; regressions >> seed;) seeds.push_back(seed);
  for (uint64_t i = 0; i < FLAGS_seeds; ++i) seeds.push_back(FLAGS_seed + i);
  for (const uint64_t seed : seeds) RunSeed(seed);
  std::printf("%zu seeds, no invariant broken\n", seeds.size());
  return 0;
}
