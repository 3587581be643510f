#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// How a target has answered this router, kept by outlier_detector.
struct target_health {
  double failure_rate = 0;  ///< smoothed share of failed attempts
  double latency_us = 0;    ///< smoothed time of attempts that ended well
  uint32_t samples = 0;     ///< since it was last ejected
  uint32_t consecutive_slow =
      0;  ///< samples in a row that were far over the pool's
  uint32_t consecutive_ejections = 0;  ///< in a row
  common::time_point ejected_until;
};

/// What a router knows of one target.
struct target_view {
  std::string id;
  std::string pool;
  std::string data_centre;
  uint64_t hash = 0;         ///< of the id, for rendezvous hashing
  uint64_t incarnation = 0;  ///< of its agent; 0 while not connected
  bool connected = false;
  bool listed_leaving = false;   ///< the VM list says so
  bool drained = false;          ///< an operator or the preset says so
  load_report load;              ///< last one received
  uint32_t local_in_flight = 0;  ///< attempts of this router
  uint32_t local_at_report = 0;  ///< local_in_flight when load was received

  target_health health;
  uint64_t seen_incarnation = 0;       ///< the one available_since is about
  common::time_point available_since;  ///< new, or back from an ejection

  /// @return whether new work may be sent
  bool Usable() const {
    return connected && !listed_leaving && !drained && load.accepting;
  }

  /// Takes over a load report.
  void ApplyLoadReport(const load_report& report) {
    load = report;
    local_at_report = local_in_flight;
  }

  /// @return attempts at the target: those reported, and those that this
  /// router sent since the report; never less than this router's own
  uint32_t Outstanding() const {
    const uint32_t reported = load.in_flight + load.queued;
    const uint32_t since = local_in_flight > local_at_report
                               ? local_in_flight - local_at_report
                               : 0;
    return std::max(reported + since, local_in_flight);
  }
};

/// The targets of one pool. The version changes with its members.
struct target_pool {
  std::string name;
  uint64_t version = 0;
  std::vector<target_view*> members;
};

}  // namespace wisteriadale::core
