#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/plan.h"

namespace wisteriadale::load {

/// Outcome of one request. Times are measured from the scheduled arrival, so
/// that delayed sending does not hide waiting time (coordinated omission).
struct sample {
  arrival planned;
  bool complete = false;       ///< answered completely and correctly
  bool in_time = false;        ///< complete, and within its deadline
  bool foreign = false;        ///< got the answer to another request
  std::string code;            ///< name of the result code, or why none came
  double first_token_ms = -1;  ///< -1: no token came, as without streaming
  double answer_ms = 0;
  uint32_t attempts = 0;  ///< total of all its stages
  uint32_t stages = 0;
  double send_delay_ms = 0;  ///< from the scheduled arrival to the sending
};

/// Counters and target time of a pool during the run.
struct pool_cost {
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t failed = 0;
  int64_t abandoned = 0;
  int64_t cache_hits = 0;
  double busy_seconds = 0;
  double wasted_seconds = 0;  ///< part of busy_seconds without an answer
};

/// All measurements of a run.
struct run_record {
  std::vector<sample> samples;             ///< in order of arrival
  std::map<std::string, pool_cost> pools;  ///< by pool name
  int64_t platform_reads = 0;
  int64_t platform_writes = 0;
};

}  // namespace wisteriadale::load
