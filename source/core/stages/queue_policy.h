#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// A job that waits for targets, as far as its place in the queue depends on
/// it.
struct waiting_job {
  uint32_t priority = 0;         ///< 0 is served first
  common::time_point objective;  ///< its pieces have to complete by then
  size_t pieces = 0;             ///< that are in no call
  /// Its request could not meet its objective when it arrived.
  bool late_on_arrival = false;
  /// Work of other stages would be lost with it.
  bool has_inputs = false;
  /// Decided by the policy: it is served behind all that are not late.
  bool late = false;
};

/// What the targets of a queue do.
struct queue_throughput {
  double pieces_per_s = 0;            ///< 0: not known
  common::duration shortest_call{0};  ///< with a single piece
  common::duration expected_call{0};  ///< as the queue is filled now
};

/// Decides which waiting jobs are late: what is delayed, and turned away once
/// its deadline cannot be met, when the targets cannot complete all in time.
class queue_policy {
 public:
  virtual ~queue_policy() = default;
  virtual std::string_view name() const = 0;
  /// Sets `late` of each job.
  /// @param jobs in any sequence
  /// @return until when the decision holds if no job comes or goes
  virtual common::time_point MarkLate(std::span<waiting_job> jobs,
                                      const queue_throughput& throughput,
                                      common::time_point now) const = 0;
};

/// A job is late once it cannot meet its objective even if it is served next.
/// Under overload, jobs of equal priority are then all served at the last
/// moment, and most complete a little too late.
class last_moment_policy final : public queue_policy {
 public:
  std::string_view name() const override { return "last_moment"; }
  common::time_point MarkLate(std::span<waiting_job> jobs,
                              const queue_throughput& throughput,
                              common::time_point now) const override;
};

/// As many jobs as possible meet their objectives, the more urgent priorities
/// first: when the jobs up to one do not fit before its objective, one of its
/// priority gives way, of those without lost work the one that needs most. (The
/// rule of Moore and Hodgson, for each priority.) No job delays one of a more
/// urgent priority.
class least_cost_policy final : public queue_policy {
 public:
  std::string_view name() const override { return "least_cost"; }
  common::time_point MarkLate(std::span<waiting_job> jobs,
                              const queue_throughput& throughput,
                              common::time_point now) const override;
};

/// @return the policy where none is chosen: last_moment
const queue_policy& DefaultQueuePolicy();

/// @return the policy of that name, or null
const queue_policy* FindQueuePolicy(std::string_view name);

}  // namespace wisteriadale::core
