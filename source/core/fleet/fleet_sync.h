#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "core/fleet/evacuations.h"
#include "core/fleet/store_read.h"
#include "core/fleet/target_directory.h"
#include "core/ports/deployment_codec.h"
#include "core/ports/row_store.h"
#include "core/routes/route_table.h"

namespace wisteriadale::core {

struct fleet_sync_options {
  /// How long a read of route changes may wait at the store for a change (long
  /// polling). A dead connection is only noticed after this time.
  common::milliseconds routes_wait{1200};
  /// Interval between two reads of target changes.
  common::duration targets_period = std::chrono::milliseconds(600);
  /// A gateway that others tell what they read reads for itself once the latest
  /// read that it knows of is this old.
  common::duration relay_patience = std::chrono::milliseconds(900);
  /// Delay before a failed read is repeated; it doubles with each failure.
  common::duration retry_delay = std::chrono::milliseconds(250);
  /// Entries may expire in an outage of the store from this length on.
  common::duration expiring_outage = std::chrono::milliseconds(2400);
  /// Removals are ignored for this long after such an outage: entries that
  /// expired in it are written again within this time.
  common::duration removal_grace = std::chrono::milliseconds(2200);
  /// For this long after the store was restored from a copy, entries of targets
  /// that no longer write them may be in it.
  common::duration entry_expiry = std::chrono::milliseconds(6000);
};

/// Reads from the store as rarely as the limits allow. Within them, a dead
/// connection is noticed and a lost response is requested again.
/// @param routes_limit   time within which new routes have to be in force
/// @param leaving_limit  time within which a leaving target gets no new work
/// @param response_limit longest time that the store takes to respond
/// @param heartbeat      interval at which targets write their entries
fleet_sync_options MakeSyncOptions(common::duration routes_limit,
                                   common::duration leaving_limit,
                                   common::duration response_limit,
                                   common::duration heartbeat);

/// Keeps the routes and the targets of this process in sync with the store.
/// Copes with a store that is slow, unavailable, serves stale data or has lost
/// its history, and with invalid entries.
class fleet_sync {
 public:
  fleet_sync(const fleet_sync_options& options, row_store& rows,
             const deployment_codec& codec, route_holder& routes,
             target_directory& targets, common::clock& clock,
             common::timer_service& timers)
      : options_(options),
        rows_(rows),
        codec_(codec),
        routes_(routes),
        targets_(targets),
        clock_(clock),
        timers_(timers) {}
  ~fleet_sync();
  fleet_sync(const fleet_sync&) = delete;
  fleet_sync& operator=(const fleet_sync&) = delete;

  /// @param known receives what the store says of evacuated data centres; may
  /// be null, and has to outlive this object
  void SetEvacuations(evacuations* known) { evacuations_ = known; }

  /// Starts with a full read of routes and targets.
  void Start();

  /// Puts routes in force if they are valid and newer than the current ones.
  /// @param text   as the store holds them
  /// @param source origin of the text, for the log
  /// @param era    of the store that it was read in
  void ApplyRoutes(std::string_view text, std::string_view source,
                   uint64_t era);

  /// Applies what another gateway has read about leaving targets.
  /// @param draining targets whose entries are marked as draining
  /// @param gone     targets without an entry. Entries may expire and
  /// come back, so these are only used while this gateway cannot read the store
  /// itself, or does not yet believe what it reads there about removals
  void ApplyLeavingTargets(std::span<const target_start> draining,
                           std::span<const target_start> gone);

  /// Applies what another gateway has read from the store. Ignored if it does
  /// not follow on what is known here, or while entries may be from a copy of
  /// the store: this gateway then reads for itself.
  /// @param as_of when that read began
  void ApplyRelayedRead(const store_read& read, common::time_point as_of);
  /// Another gateway has these routes in force: newer ones are read at once, as
  /// changes of routes may not be followed here.
  void OnRoutesAnnounced(const routes_edition& edition);
  /// @param handler called after each read of target changes that other
  /// gateways can rely on, with the time at which it began
  void SetReadHandler(
      std::function<void(const store_read&, common::time_point)> handler) {
    read_handler_ = std::move(handler);
  }
  /// @return whether a read of another gateway is being applied, which tells
  /// the others of it
  bool applying_relayed_read() const { return applying_relayed_read_; }
  /// @return age of what is known about targets
  common::duration TargetsAge() const {
    return clock_.Now() - targets_current_at_;
  }

  /// @param handler called after newer routes came into force
  void SetRoutesHandler(std::function<void()> handler) {
    routes_handler_ = std::move(handler);
  }
  /// @return the routes in force, as stored
  const std::string& routes_text() const { return routes_text_; }
  /// @return whether the last read of the store failed
  bool store_failing() const { return store_failing_; }
  /// @return whether the targets have been read since the start
  bool targets_known() const { return targets_read_to_.version > 0; }

 private:
  /// A target without an entry, as another gateway says.
  struct gone_target {
    target_start start;
    common::time_point reported_at;
  };

  void ReadRoutes();
  void ReadRouteChanges();
  /// Reads changes of routes, or waits while another gateway follows them.
  void FollowRoutes();
  void OnRoutesRead(const row_store_result& result, bool full);
  /// Applies what rows of the routes' table say of evacuated data centres.
  /// @param full whether the rows are the whole table rather than changes
  void ApplyEvacuations(std::span<const stored_row> rows, bool full,
                        const store_point& at);
  /// Reads all routes after their changes turned out not to be available, but
  /// not without a pause since the last time.
  void ReadRoutesAgain();
  void ReadTargets();
  void ReadTargetsAgain();
  /// @param last when the last read began
  /// @return the pause before the next one
  common::duration PauseAfter(common::time_point last) const;
  void ReadTargetChanges();
  /// @param sent when the read began
  void OnTargetsRead(const row_store_result& result, bool full,
                     common::time_point sent);
  /// @param full whether the rows are the whole table rather than changes
  void ApplyTargets(std::span<const stored_row> rows, bool full);
  void RecordFailure();
  void RecordSuccess();
  /// Notices that the store was restored from a copy.
  /// @return where the store was at the time of a response
  store_point RecordPoint(const row_store_result& result);
  /// Notices that the targets could not be read for long.
  void RecordTargetsRead(common::time_point sent);
  /// Checks entries against what is known for a while, as they may be from a
  /// copy, then reads all targets.
  void ExpectOutdatedEntries();
  /// @return whether the latest successful read of targets began in that time
  bool EntriesMayBeOutdated() const;
  /// Ignores removals for a while, then reads all targets.
  void HoldRemovals();
  bool RemovalsHeld() const;
  /// @return whether targets that others call gone are removed, as neither own
  /// reads nor those of another gateway tell
  bool ReliesOnReports() const;
  /// @param failures in a row before
  /// @return the pause before a failed read is repeated
  common::duration RetryDelay(uint32_t failures,
                              common::duration max_delay) const;
  void ApplyReportedGone();
  /// @param version of its row
  void ApplyEntry(const target_entry& entry, uint64_t version);
  void ApplyRow(const stored_row& row);
  /// Records whether an entry differs from what was read before.
  /// @param entry of the row; nothing for a tombstone or a refused entry
  void RecordContent(const stored_row& row,
                     const std::optional<target_entry>& entry);
  /// @return whether entries and removals can be taken as they are read
  bool Undisturbed() const;
  /// @return whether others may rely on this gateway for changes of routes
  bool FollowsRoutes() const;
  /// Passes a read on to the read handler.
  /// @param from how far targets had been read before
  void ReportRead(const store_point& from, common::time_point sent);
  /// @return the target, or nothing with a log event
  std::optional<target_entry> Decode(const stored_row& row) const;
  /// Replaces a timer that may be pending.
  void RestartTimer(common::timer_id* timer, common::duration delay,
                    std::function<void()> handler);

  fleet_sync_options options_;
  row_store& rows_;
  const deployment_codec& codec_;
  route_holder& routes_;
  target_directory& targets_;
  common::clock& clock_;
  common::timer_service& timers_;
  evacuations* evacuations_ = nullptr;
  std::function<void()> routes_handler_;
  std::function<void(const store_read&, common::time_point)> read_handler_;
  std::string routes_text_;
  /// How far routes and targets have been read.
  store_point routes_read_to_;
  store_point targets_read_to_;
  /// When all routes and all targets were read the last time.
  common::time_point routes_read_at_{};
  common::time_point targets_read_at_{};
  uint64_t era_ = 0;  ///< latest of the store; 0: not known
  common::timer_id routes_timer_ = 0;
  common::timer_id targets_timer_ = 0;
  common::timer_id removal_timer_ = 0;
  common::timer_id expiry_timer_ = 0;
  bool store_failing_ = false;
  /// Until then, missing entries may belong to targets that are alive.
  std::optional<common::time_point> removals_held_until_;
  /// All targets are to be read once missing entries have had the time to be
  /// written again.
  bool full_read_pending_ = false;
  /// Digests of the entries as read last, without what changes with each
  /// heartbeat; by key.
  std::map<std::string, uint64_t> contents_;
  /// Rows of the present read whose content is new.
  std::vector<stored_row> changed_rows_;
  /// The store's version up to which the latest change of an entry's content
  /// was read.
  uint64_t last_content_change_ = 0;
  /// Until then, the latest read of another gateway is recent enough.
  common::time_point targets_relayed_until_{};
  common::time_point routes_relayed_until_{};
  /// When routes were read the last time, changes included.
  common::time_point routes_current_at_{};
  bool reading_routes_ = false;
  /// Failures in a row.
  uint32_t target_failures_ = 0;
  uint32_t route_failures_ = 0;
  /// Targets were removed because others called them gone, since the latest own
  /// read.
  bool removed_on_reports_ = false;
  bool applying_relayed_read_ = false;
  /// Reported since the latest successful read of targets.
  std::vector<gone_target> reported_gone_;
  /// When the latest read of targets that succeeded began.
  common::time_point targets_current_at_{};
  /// Until then, entries may be from the copy that the store was restored from.
  std::optional<common::time_point> outdated_entries_until_;
  /// The store's version when this gateway first read it in its latest era:
  /// rows with a higher one are not from a copy.
  std::optional<uint64_t> era_noticed_at_;
  /// Ids of targets whose entries may be from the copy.
  std::set<std::string> possibly_outdated_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wisteriadale::core
