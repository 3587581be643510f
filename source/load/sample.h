#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/plan.h"

namespace wisteriadale::load {

/// What became of one request. Times run from the intended arrival, so that a
/// late sender does not hide a wait.
struct sample {
  arrival planned;
  bool whole = false;          ///< answered whole with its own answer
  bool in_time = false;        ///< and within its deadline
  bool foreign = false;        ///< answered with another request's answer
  std::string code;            ///< result code's name, or why no answer came
  double first_token_ms = -1;  ///< streamed requests only
  double answer_ms = 0;
  uint32_t attempts = 0;  ///< of all its stages
  uint32_t stages = 0;
  double sent_late_ms = 0;
};

/// Target time of a pool during the run.
struct pool_cost {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t failed = 0;
  int64_t abandoned = 0;
  int64_t cache_hits = 0;
  double busy_seconds = 0;
  double wasted_seconds = 0;
};

/// Everything that a run observed.
struct run_record {
  std::vector<sample> samples;
  std::map<std::string, pool_cost> pools;
  int64_t platform_reads = 0;
  int64_t platform_writes = 0;
};

}  // namespace wisteriadale::load
