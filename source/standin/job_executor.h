#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/clock.h"

/// Simulated platform and targets with fault injection, for tests and
/// measurements.
namespace wisteriadale::standin {

/// Configuration of a simulated target. A field that names a kind applies to
/// targets of that kind only.
struct target_options {
  std::string id;
  std::string pool;
  std::string kind;  ///< engine, stage or plain
  std::string data_centre;
  uint16_t port = 0;
  uint32_t tokens = 24;            ///< engine: length of an answer
  int64_t prefill_us = 20000;      ///< engine: prefill time of a prompt
  double cached_prefill = 0.1;     ///< engine: share of it on a cache hit
  int64_t step_us = 2000;          ///< engine: base time of a step
  int64_t step_sequence_us = 250;  ///< engine: step time for each sequence
  uint32_t batch_limit = 8;        ///< engine: most sequences in a batch
  uint32_t cache_entries = 64;     ///< engine: capacity of the prefix cache
  int64_t service_us = 2000;       ///< stage, plain: mean service time
  uint32_t parallel = 8;           ///< stage, plain: most concurrent calls
  bool reports_load = false;       ///< plain: answers GET /load
  int64_t load_lag_ms = 200;       ///< load reports are 1 to 2 times this old
  int64_t event_lag_ms = 500;      ///< delay until a cache event is published
  double event_gap_share = 0.05;   ///< share of cache events that are lost
  bool checks_fencing = true;      ///< rejects orders with a stale number
  bool checks_authority = false;   ///< rejects orders of other authorities
  std::string authority = "controller";  ///< the one whose orders are accepted
};

/// Faults injected into one target, set by tests over HTTP.
struct target_faults {
  double slow_factor = 1;         ///< multiplies every service time
  double fail_share = 0;          ///< share of runs answered with an error
  bool down = false;              ///< every connection is closed unanswered
  bool hang = false;              ///< runs are accepted and never completed
  bool silent = false;            ///< no request is answered, not even /healthz
  uint32_t cut_after_tokens = 0;  ///< aborts streams here; 0: never
  std::string crash_marker;       ///< a body that contains it causes a crash
  int64_t crash_ms = 1000;        ///< downtime after a crash
};

/// Counters of a target, in runs and in microseconds of target time.
struct target_counts {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t abandoned = 0;  ///< the caller closed the connection
  uint64_t crashes = 0;
  uint64_t cache_hits = 0;
  double busy_us = 0;
  double wasted_us = 0;  ///< part of busy_us spent on jobs without an answer
};

/// One run, as it is queued and executed by a target.
struct job {
  uint64_t id = 0;
  int priority = 0;  ///< engine: higher values join the batch first
  std::string prefix_key;
  uint32_t steps = 1;             ///< engine: tokens still to generate
  common::duration service{0};    ///< stage, plain: service time of this call
  std::function<void()> on_step;  ///< engine: called for each token
  std::function<void()> on_end;   ///< called once the job is complete
  double spent_us = 0;            ///< target time charged so far
};

/// Executes the jobs of a target in simulated service time.
class job_executor {
 public:
  virtual ~job_executor() = default;
  /// Queues a job; it may start at once.
  virtual void Submit(job work) = 0;
  /// Drops a job, queued or running, without calling its handlers. The time
  /// charged to it so far counts as wasted.
  virtual void Remove(uint64_t id) = 0;
  virtual size_t running() const = 0;
  virtual size_t queued() const = 0;
};

}  // namespace wisteriadale::standin
