#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// Results of a target's attempts for this router, updated by outlier_detector.
struct target_health {
  double failure_rate = 0;  ///< EWMA of failed (1) and successful (0) attempts
  double latency_us = 0;    ///< EWMA of the latency of successful attempts
  uint32_t samples = 0;     ///< attempts since the last ejection
  /// Consecutive samples with a latency far above the pool's median.
  uint32_t slow_streak = 0;
  uint32_t ejection_streak = 0;  ///< consecutive ejections
  common::time_point ejected_until;
};

/// Everything that a router knows about one target.
struct target_view {
  std::string id;
  std::string pool;
  std::string data_centre;
  uint64_t hash = 0;         ///< of the id, for rendezvous hashing
  uint64_t incarnation = 0;  ///< of its agent; 0 while not connected
  bool connected = false;
  bool listed_leaving = false;   ///< the VM list shows it as leaving
  bool drained = false;          ///< by an operator or by the preset
  load_report load;              ///< latest report
  uint32_t local_in_flight = 0;  ///< attempts that this router has in flight
  uint32_t local_at_report = 0;  ///< local_in_flight when `load` was received

  target_health health;
  uint64_t seen_incarnation = 0;  ///< that available_since refers to
  /// Start of the slow start: first use of the incarnation, or end of an
  /// ejection.
  common::time_point available_since;

  /// @return whether the target accepts new attempts
  bool Usable() const {
    return connected && !listed_leaving && !drained && load.accepting;
  }

  /// Stores a load report that has just been received.
  void ApplyLoadReport(const load_report& report) {
    load = report;
    local_at_report = local_in_flight;
  }

  /// @return estimated number of attempts at the target: the reported ones plus
  /// those that this router sent since the report, at least this router's own
  uint32_t Outstanding() const {
    const uint32_t reported = load.in_flight + load.queued;
    const uint32_t sent_since = local_in_flight > local_at_report
                                    ? local_in_flight - local_at_report
                                    : 0;
    return std::max(reported + sent_since, local_in_flight);
  }
};

/// The targets of one pool. The version increases when a member is added or
/// removed.
struct target_pool {
  std::string name;
  uint64_t version = 0;
  std::vector<target_view*> members;
};

}  // namespace wisteriadale::core
