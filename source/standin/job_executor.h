#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/clock.h"

/// Stand-ins for the platform and the targets, for tests and measurements.
namespace wisteriadale::standin {

/// Figures of a target; which ones count depends on its kind.
struct target_options {
  std::string id;
  std::string pool;
  std::string kind;  ///< engine, stage or plain
  std::string data_centre;
  uint16_t port = 0;
  uint32_t tokens = 24;            ///< of an engine's answer
  int64_t prefill_us = 20000;      ///< engine: time to read a prompt
  double cached_prefill = 0.1;     ///< share of it when the prefix is cached
  int64_t step_us = 2000;          ///< engine: base time of a step
  int64_t step_sequence_us = 250;  ///< engine: added by each sequence
  uint32_t batch_limit = 8;        ///< engine: sequences in one batch
  uint32_t cache_entries = 64;     ///< engine: prefixes that are kept
  int64_t service_us = 2000;       ///< stage, plain: mean time of a call
  uint32_t parallel = 8;           ///< stage, plain: calls at one time
  bool reports_load = false;       ///< plain: answers GET /load
  int64_t load_lag_ms = 200;       ///< age of a load report: once to twice it
  int64_t event_lag_ms = 500;      ///< age at which a cache event is shown
  double event_gap_share = 0.05;   ///< cache events that are never shown
  bool checks_fencing = true;      ///< refuses orders with an old number
  bool checks_authority = false;   ///< refuses orders of others
  std::string authority = "controller";
};

/// Faults of one target, set by tests over HTTP.
struct target_faults {
  double slow_factor = 1;         ///< of every service time
  double fail_share = 0;          ///< runs answered with an error
  bool down = false;              ///< every connection is dropped
  bool hang = false;              ///< runs are taken and never answered
  bool silent = false;            ///< nothing is answered, health included
  uint32_t cut_after_tokens = 0;  ///< streams are cut; 0: never
  std::string crash_marker;       ///< bodies that hold it crash the target
  int64_t crash_ms = 1000;        ///< time until a crashed target is back
};

/// What a target did, in microseconds of target time and in runs.
struct target_counts {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t abandoned = 0;  ///< the caller went away
  uint64_t crashes = 0;
  uint64_t cache_hits = 0;
  double busy_us = 0;
  double wasted_us = 0;  ///< part of busy_us that gave no answer
};

/// One run as the work of a target.
struct job {
  uint64_t id = 0;
  int priority = 0;  ///< higher goes first
  std::string prefix_key;
  uint32_t steps = 1;             ///< tokens still to generate
  common::duration service{0};    ///< stage, plain: time of this call
  std::function<void()> on_step;  ///< engine: a token is ready
  std::function<void()> on_end;
  double spent_us = 0;  ///< target time so far
};

/// The part of a target that takes time.
class worker {
 public:
  virtual ~worker() = default;
  virtual void Submit(job work) = 0;
  /// Drops a job; its time so far counts as wasted.
  virtual void Remove(uint64_t id) = 0;
  virtual size_t running() const = 0;
  virtual size_t queued() const = 0;
};

}  // namespace wisteriadale::standin
