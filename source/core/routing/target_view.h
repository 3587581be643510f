#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"

namespace wisteriadale::core {

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

  /// @return whether new work may be sent
  bool Usable() const {
    return connected && !listed_leaving && !drained && load.accepting;
  }

  /// Takes over a load report.
  void Report(const load_report& report) {
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
