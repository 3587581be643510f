#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// A target as it describes itself in its entry.
struct target_entry {
  std::string id;  ///< usually differs for each start of the target
  std::string service;
  std::string address;  ///< "ip:port"
  std::string data_centre;
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer the target is slow after its start.
  common::duration warm_up_remaining{0};
  int64_t started_ms = 0;  ///< wall time of its start; 0: not known
};

/// How far an entry that was read can be trusted to be the latest.
enum class entry_origin {
  kStore,         ///< the latest
  kRestoredStore  ///< it may be from the older copy the store was restored from
};

/// One start of a target.
struct target_start {
  std::string id;
  int64_t started_ms = 0;  ///< 0: not known

  friend bool operator==(const target_start&, const target_start&) = default;
};

/// Targets that left.
struct departed_targets {
  std::vector<target_start> leaving;  ///< final for these starts
  std::vector<target_start> gone;     ///< their entries may come back
};

/// A target and what this process has learnt from its own calls to it.
struct fleet_target {
  target_entry entry;
  bool leaving = false;  ///< gets no new work; final for this start
  /// It left without notice: its entry was removed, or a later start found.
  bool vanished = false;
  /// Start of the process that has its id now, in Unix milliseconds; 0: none is
  /// known.
  int64_t next_started_ms = 0;
  uint32_t in_flight = 0;
  double outstanding_tokens = 0;  ///< prompt tokens sent and not yet answered
  uint32_t consecutive_failures = 0;
  common::time_point ejected_until{};
  /// Avoided until then, since it rejected a call because of load.
  common::time_point overloaded_until{};
  /// Smoothed ratio of actual to estimated call time; 1 is as estimated.
  double slowness = 1.0;
  common::time_point slowness_updated{};
  /// Its data centre is evacuated: it gets no new work until that is over.
  bool evacuated = false;
  /// When the latest evacuation of its data centre was taken back.
  common::time_point returned_at{};

  /// @return whether the target may get new work
  bool Usable(common::time_point now) const {
    return !leaving && !evacuated && ejected_until <= now;
  }
};

/// Why a target gets no new work.
enum class leaving_reason {
  kDraining,        ///< its entry is marked as draining
  kGone,            ///< its entry was removed
  kReplaced,        ///< it was restarted or moved
  kReportedByPeer,  ///< another gateway reported it
  kStated,          ///< it said so in a response
};

/// @return the name used in logs
std::string_view ToString(leaving_reason reason);

/// The targets of all services, as described by their entries. Targets that
/// have left are kept alive by the calls in progress to them.
class target_directory {
 public:
  using pool = std::vector<std::shared_ptr<fleet_target>>;

  /// Applies a new or changed entry. One that may be from an older copy of the
  /// store neither brings back a target that left nor an earlier start.
  /// @return false if the entry was ignored for that
  bool Update(const target_entry& entry,
              entry_origin origin = entry_origin::kStore);
  /// Removes the targets that are not in a complete list of ids.
  void RemoveMissing(const std::set<std::string_view>& listed);
  /// Applies the removal of an entry.
  void Remove(std::string_view id);
  /// Applies the report of another process that an entry was removed. Later
  /// starts of the target are not affected.
  void Remove(const target_start& gone);
  /// Applies the report of another process, or of the target itself, that it is
  /// leaving. Later starts of the target are not affected.
  /// @return whether this was not known yet
  bool MarkLeaving(const target_start& leaving,
                   leaving_reason reason = leaving_reason::kReportedByPeer);

  /// Evacuates a data centre, or takes that back: its targets leave the pools
  /// of their services until then, and finish what they run.
  /// @return number of its targets
  size_t SetEvacuated(const std::string& data_centre, bool evacuated,
                      common::time_point now);
  /// @return whether a service has targets, and all are in evacuated data
  /// centres
  bool AllEvacuated(std::string_view service) const;

  /// @return the latest departures
  departed_targets RecentDepartures(size_t limit) const;

  /// @return the targets of a service that are neither leaving nor in an
  /// evacuated data centre, sorted by id
  const pool& Pool(std::string_view service) const;
  /// @return the target at an address, or null
  std::shared_ptr<fleet_target> AtAddress(std::string_view address) const;
  /// @return the target with an id, or null
  std::shared_ptr<fleet_target> Find(std::string_view id) const;
  /// @return whether more than half of a service's targets are ejected
  bool MostEjected(std::string_view service, common::time_point now) const;

  /// @param action called for each target, in no particular sequence
  void ForEach(const std::function<void(const fleet_target&)>& action) const;
  /// @param handler called after the entry of a target that gets work was read
  void SetEntryHandler(std::function<void(const fleet_target&)> handler) {
    entry_handler_ = std::move(handler);
  }

  using leaving_handler =
      std::function<void(const fleet_target&, leaving_reason)>;
  /// @param action called for each target that starts to leave
  void SetLeavingHandler(leaving_handler handler) {
    leaving_handler_ = std::move(handler);
  }

 private:
  /// Marks a target as leaving and removes it from the maps.
  /// @param target not a reference into the maps, since those entries are
  /// erased
  void Detach(const std::shared_ptr<fleet_target>& target,
              leaving_reason reason);
  /// @return the target, unless it has started again since; or null
  std::shared_ptr<fleet_target> FindStart(const target_start& start) const;
  void AddToPool(const std::shared_ptr<fleet_target>& target);
  void RemoveFromPool(const std::shared_ptr<fleet_target>& target);

  std::unordered_map<std::string, std::shared_ptr<fleet_target>> by_id_;
  std::map<std::string, pool, std::less<>> pools_;
  /// Targets in evacuated data centres, by service.
  std::map<std::string, pool, std::less<>> evacuated_pools_;
  std::set<std::string, std::less<>> evacuated_data_centres_;
  std::unordered_map<std::string, std::shared_ptr<fleet_target>> by_address_;
  /// The last known entry of a target that left.
  struct departure {
    int64_t started_ms = 0;
    /// Its entry was removed, which also happens to targets that run on.
    bool may_return = false;
    uint64_t number = 0;  ///< of this departure
  };

  void RecordDeparture(const target_start& start, bool may_return);
  /// Records what another process reported of a target that is not known here.
  void RecordReported(const target_start& start, bool may_return);

  /// By id: outdated entries of the same start must not bring targets back.
  std::map<std::string, departure, std::less<>> departures_;
  /// Ids and numbers of departures, oldest first.
  std::deque<std::pair<std::string, uint64_t>> departure_order_;
  uint64_t departure_count_ = 0;
  leaving_handler leaving_handler_;
  std::function<void(const fleet_target&)> entry_handler_;
};

}  // namespace wisteriadale::core
