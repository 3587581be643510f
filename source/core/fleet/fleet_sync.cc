#include "core/fleet/fleet_sync.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/last_error.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

/// Logs how many keys of each organisation are no longer valid, never the keys.
void LogDroppedKeys(const route_table& previous, const route_table& latest) {
  for (const organisation_spec& organisation :
       previous.document().organisations) {
    int64_t dropped = 0;
    for (const std::string& key : organisation.keys) {
      if (latest.FindKey(key) == nullptr) ++dropped;
    }
    if (dropped == 0) continue;
    common::LogEvent(log_event::kKeyDropped, "",
                     {{"organisation", organisation.name},
                      {"keys", dropped},
                      {"version", static_cast<int64_t>(latest.version())}});
  }
}

// Part of the limit for leaving targets that may pass between two reads. The
// rest is for a response that is lost and requested again.
constexpr double kTargetsPeriodShare = 0.3;
// A read that others tell of is at most this many periods old before a gateway
// reads for itself: the next one is late, and one response may be lost still.
constexpr double kRelayPatiencePeriods = 1.5;
// Failed reads are repeated after a pause that doubles, up to the period of
// reads: a store that turns gateways away gets no more calls than otherwise.
constexpr uint32_t kMaxRetryDoublings = 6;
// More changes at once are not passed on: the others read them from the store.
constexpr size_t kMaxRelayedChanges = 256;
// Lower bound for very short limits: the store, which serves a few hundred
// calls per second, would otherwise be read without a pause.
constexpr common::milliseconds kMinPeriod{100};
// The store removes an entry after three intervals of silence. The others are
// for outages between two reads, and for a store that removes entries late.
constexpr int kExpiryHeartbeats = 5;
// After so many periods without a successful read, one has failed.
constexpr int kMissedReads = 2;
// One of the three may have passed when an outage begins.
constexpr int kExpiringOutageHeartbeats = 2;
// Stores do not hold a long poll for longer than this.
constexpr common::milliseconds kMaxWait{30000};

}  // namespace

fleet_sync_options MakeSyncOptions(common::duration routes_limit,
                                   common::duration leaving_limit,
                                   common::duration response_limit,
                                   common::duration heartbeat) {
  fleet_sync_options options;
  options.routes_wait =
      std::clamp(std::chrono::duration_cast<common::milliseconds>(
                     routes_limit - response_limit),
                 kMinPeriod, kMaxWait);
  // Not above a heartbeat: a longer pause would look like an outage in which
  // entries expire.
  options.targets_period = std::max(
      common::duration(kMinPeriod),
      std::min(heartbeat,
               common::FromSeconds(
                   kTargetsPeriodShare *
                   std::chrono::duration<double>(leaving_limit).count())));
  options.relay_patience = common::FromSeconds(
      kRelayPatiencePeriods *
      std::chrono::duration<double>(options.targets_period).count());
  options.entry_expiry = kExpiryHeartbeats * heartbeat;
  options.expiring_outage = kExpiringOutageHeartbeats * heartbeat;
  return options;
}

fleet_sync::~fleet_sync() {
  timers_.Cancel(routes_timer_);
  timers_.Cancel(targets_timer_);
  timers_.Cancel(removal_timer_);
  timers_.Cancel(expiry_timer_);
}

void fleet_sync::Start() {
  targets_current_at_ = clock_.Now();
  ReadRoutes();
  ReadTargets();
}

void fleet_sync::RestartTimer(common::timer_id* timer, common::duration delay,
                              std::function<void()> handler) {
  timers_.Cancel(*timer);
  *timer = timers_.Schedule(delay, std::move(handler));
}

common::duration fleet_sync::RetryDelay(uint32_t failures,
                                        common::duration max_delay) const {
  const uint32_t doublings = std::min(failures, kMaxRetryDoublings);
  return std::min(options_.retry_delay * (1 << doublings),
                  std::max(max_delay, options_.retry_delay));
}

common::duration fleet_sync::PauseAfter(common::time_point last) const {
  return std::max(common::duration(0),
                  last + options_.retry_delay - clock_.Now());
}

void fleet_sync::ReadRoutesAgain() {
  RestartTimer(&routes_timer_, PauseAfter(routes_read_at_),
               [this] { ReadRoutes(); });
}

void fleet_sync::ReadTargetsAgain() {
  RestartTimer(&targets_timer_, PauseAfter(targets_read_at_),
               [this] { ReadTargets(); });
}

void fleet_sync::ReadRoutes() {
  reading_routes_ = true;
  routes_read_at_ = clock_.Now();
  rows_.ReadTable(codec_.locations().routes_table,
                  [this, alive = std::weak_ptr<bool>(alive_)](
                      const row_store_result& result) {
                    if (!alive.expired()) OnRoutesRead(result, true);
                  });
}

void fleet_sync::FollowRoutes() {
  const common::duration relayed = routes_relayed_until_ - clock_.Now();
  if (relayed.count() <= 0) {
    ReadRouteChanges();
    return;
  }
  RestartTimer(&routes_timer_, relayed, [this] { FollowRoutes(); });
}

void fleet_sync::OnRoutesAnnounced(const routes_edition& edition) {
  if (!(routes_.edition() < edition)) return;
  routes_relayed_until_ = {};
  if (reading_routes_ || !routes_.current()) return;
  timers_.Cancel(routes_timer_);
  routes_timer_ = 0;
  ReadRouteChanges();
}

void fleet_sync::ReadRouteChanges() {
  reading_routes_ = true;
  rows_.ReadChanges(codec_.locations().routes_table, routes_read_to_.version,
                    options_.routes_wait,
                    [this, alive = std::weak_ptr<bool>(alive_)](
                        const row_store_result& result) {
                      if (!alive.expired()) OnRoutesRead(result, false);
                    });
}

void fleet_sync::OnRoutesRead(const row_store_result& result, bool full) {
  reading_routes_ = false;
  const store_point at = RecordPoint(result);
  if (result.status == row_store_status::kCompacted) {
    common::LogEvent(log_event::kDependencyLost, "",
                     {{"dependency", "history of the store"},
                      {"read_again", "routes"},
                      {"after", static_cast<int64_t>(routes_read_to_.version)},
                      {"era", static_cast<int64_t>(at.era)}});
    ReadRoutesAgain();
    return;
  }
  if (result.status != row_store_status::kOk) {
    RecordFailure();
    const common::duration relayed = routes_relayed_until_ - clock_.Now();
    const common::duration pause =
        RetryDelay(route_failures_++, options_.targets_period);
    RestartTimer(&routes_timer_, std::max(relayed, pause),
                 [this, full] { full ? ReadRoutes() : FollowRoutes(); });
    return;
  }
  RecordSuccess();
  routes_current_at_ = clock_.Now();
  route_failures_ = 0;
  ApplyEvacuations(result.rows, full, at);
  for (const stored_row& row : result.rows) {
    if (row.key == codec_.locations().routes_key && !row.removed) {
      ApplyRoutes(row.value, "store", at.era);
    }
  }
  // Changes after a version of an earlier era do not follow on what was read:
  // some may be missing.
  if (!full && at.era > routes_read_to_.era) {
    ReadRoutesAgain();
    return;
  }
  // A stale response must not move the point backwards.
  routes_read_to_ = std::max(routes_read_to_, at);
  if (full && !routes_.current()) {
    RestartTimer(&routes_timer_, options_.retry_delay,
                 [this] { ReadRouteChanges(); });
    return;
  }
  FollowRoutes();
}

void fleet_sync::ApplyEvacuations(std::span<const stored_row> rows, bool full,
                                  const store_point& at) {
  if (evacuations_ == nullptr) return;
  const std::string_view prefix = codec_.locations().evacuation_prefix;
  std::vector<evacuation> statements;
  for (const stored_row& row : rows) {
    const std::string_view key = row.key;
    if (prefix.empty() || !key.starts_with(prefix)) continue;
    statements.push_back({std::string(key.substr(prefix.size())),
                          !row.removed,
                          {at.era, row.version}});
  }
  if (full) {
    evacuations_->ApplyAll(statements, at);
  } else {
    for (const evacuation& each : statements) evacuations_->Apply(each);
  }
}

void fleet_sync::ApplyRoutes(std::string_view text, std::string_view source,
                             uint64_t era) {
  if (text == routes_text_) {
    routes_.Confirm(era);
    return;
  }
  const common::time_point started = clock_.Now();
  std::optional<route_document> document = codec_.DecodeRoutes(text);
  if (!document) {
    common::Metrics().Count("wisteria_routes_refused_total");
    common::LogEvent(log_event::kRoutesRefused, "",
                     {{"reason", common::LastError().text}});
    return;
  }
  const uint64_t version = document->version;
  const std::shared_ptr<const route_table> table =
      std::make_shared<const route_table>(std::move(*document));
  const std::shared_ptr<const route_table> previous = routes_.current();
  if (!routes_.ReplaceIfNewer(table, era)) return;
  if (previous) LogDroppedKeys(*previous, *table);
  routes_text_ = text;
  common::LogEvent(
      log_event::kRoutesApplied, "",
      {{"version", static_cast<int64_t>(version)},
       {"era", static_cast<int64_t>(era)},
       {"routes", static_cast<int64_t>(table->document().routes.size())},
       {"took_ms", common::ToMillis(clock_.Now() - started)},
       {"source", source}});
  if (routes_handler_) routes_handler_();
}

void fleet_sync::ReadTargets() {
  targets_read_at_ = clock_.Now();
  rows_.ReadTable(
      codec_.locations().targets_table,
      [this, sent = clock_.Now(),
       alive = std::weak_ptr<bool>(alive_)](const row_store_result& result) {
        if (!alive.expired()) OnTargetsRead(result, true, sent);
      });
}

void fleet_sync::ReadTargetChanges() {
  rows_.ReadChanges(
      codec_.locations().targets_table, targets_read_to_.version,
      common::milliseconds(0),
      [this, sent = clock_.Now(),
       alive = std::weak_ptr<bool>(alive_)](const row_store_result& result) {
        if (!alive.expired()) OnTargetsRead(result, false, sent);
      });
}

void fleet_sync::OnTargetsRead(const row_store_result& result, bool full,
                               common::time_point sent) {
  const store_point at = RecordPoint(result);
  if (result.status == row_store_status::kCompacted) {
    common::LogEvent(log_event::kDependencyLost, "",
                     {{"dependency", "history of the store"},
                      {"read_again", "targets"},
                      {"after", static_cast<int64_t>(targets_read_to_.version)},
                      {"era", static_cast<int64_t>(at.era)}});
    ReadTargetsAgain();
    return;
  }
  if (result.status != row_store_status::kOk) {
    // An outage delays both the removal of expired entries and the writing of
    // missing ones: these periods begin anew.
    if (EntriesMayBeOutdated()) ExpectOutdatedEntries();
    if (full_read_pending_) HoldRemovals();
    RecordFailure();
    if (ReliesOnReports()) ApplyReportedGone();
    const common::duration relayed = targets_relayed_until_ - clock_.Now();
    const common::duration pause =
        RetryDelay(target_failures_++, options_.targets_period);
    RestartTimer(&targets_timer_,
                 std::max(relayed, sent + pause - clock_.Now()),
                 [this, full] { full ? ReadTargets() : ReadTargetChanges(); });
    return;
  }
  RecordSuccess();
  target_failures_ = 0;
  removed_on_reports_ = false;
  RecordTargetsRead(sent);
  if (RemovalsHeld()) {
    ApplyReportedGone();
  } else {
    // This gateway's own read began after these reports.
    std::erase_if(reported_gone_, [sent](const gone_target& each) {
      return each.reported_at <= sent;
    });
  }
  if (!full && at.era > targets_read_to_.era) {
    ReadTargetsAgain();
    return;
  }
  // A stale response would bring back targets that have left.
  const bool outdated = at < targets_read_to_;
  if (!outdated) {
    const store_point from = targets_read_to_;
    changed_rows_.clear();
    ApplyTargets(result.rows, full);
    targets_read_to_ = at;
    // What changed since an earlier point is not known after a full read.
    if (full) last_content_change_ = at.version;
    if (!full) ReportRead(from, sent);
  }
  common::Metrics().Count("wisteria_target_reads_total", {{"by", "itself"}});
  const bool full_again = full && outdated;
  const common::duration pause = targets_relayed_until_ > clock_.Now()
                                     ? options_.relay_patience
                                     : options_.targets_period;
  RestartTimer(&targets_timer_, pause, [this, full_again] {
    full_again ? ReadTargets() : ReadTargetChanges();
  });
}

bool fleet_sync::Undisturbed() const {
  return targets_known() && !EntriesMayBeOutdated() && !RemovalsHeld() &&
         !full_read_pending_;
}

bool fleet_sync::FollowsRoutes() const {
  return routes_.current() &&
         clock_.Now() - routes_current_at_ <=
             options_.routes_wait + options_.targets_period;
}

void fleet_sync::ReportRead(const store_point& from, common::time_point sent) {
  if (!read_handler_ || store_failing_ || !Undisturbed() ||
      changed_rows_.size() > kMaxRelayedChanges) {
    return;
  }
  read_handler_({from, targets_read_to_, std::exchange(changed_rows_, {}),
                 routes_.edition(), FollowsRoutes()},
                sent);
}

void fleet_sync::ApplyRelayedRead(const store_read& read,
                                  common::time_point as_of) {
  // It follows on what is known if nothing changed between the two points.
  const bool follows = read.from == targets_read_to_ ||
                       (!(targets_read_to_ < read.from) &&
                        last_content_change_ <= read.from.version);
  // A target that was removed because others call it gone comes back with its
  // next heartbeat, which only an own read shows.
  if (!Undisturbed() || removed_on_reports_ || read.from.era != era_ ||
      read.to.era != era_ || read.to < targets_read_to_ ||
      as_of <= targets_current_at_ || !follows) {
    common::Metrics().Count("wisteria_relayed_reads_ignored_total");
    return;
  }
  common::Metrics().Count("wisteria_target_reads_total", {{"by", "another"}});
  applying_relayed_read_ = true;
  for (const stored_row& row : read.changes) ApplyRow(row);
  applying_relayed_read_ = false;
  changed_rows_.clear();
  targets_read_to_ = read.to;
  RecordTargetsRead(as_of);
  std::erase_if(reported_gone_, [as_of](const gone_target& each) {
    return each.reported_at <= as_of;
  });
  targets_relayed_until_ = as_of + options_.relay_patience;
  RestartTimer(
      &targets_timer_,
      std::max(common::duration(0), targets_relayed_until_ - clock_.Now()),
      [this] { ReadTargetChanges(); });
  if (read.routes_current && read.routes == routes_.edition()) {
    routes_relayed_until_ = targets_relayed_until_;
  } else {
    OnRoutesAnnounced(read.routes);
  }
}

store_point fleet_sync::RecordPoint(const row_store_result& result) {
  const store_point at = {result.at.era == 0 ? era_ : result.at.era,
                          result.at.version};
  if (at.era == era_ && !era_noticed_at_ &&
      result.status == row_store_status::kOk) {
    era_noticed_at_ = at.version;
  }
  if (at.era <= era_) return at;
  if (era_ != 0) {
    common::LogEvent(
        log_event::kStoreRestored, "",
        {{"era", static_cast<int64_t>(at.era)},
         {"previous_era", static_cast<int64_t>(era_)},
         {"version", static_cast<int64_t>(at.version)},
         {"routes_read_to", static_cast<int64_t>(routes_read_to_.version)},
         {"targets_read_to", static_cast<int64_t>(targets_read_to_.version)}});
    // The copy lacks targets that started since; they write their entries
    // again.
    HoldRemovals();
  }
  // Also at the start, as the store may just have been restored.
  ExpectOutdatedEntries();
  era_ = at.era;
  era_noticed_at_.reset();
  if (result.status == row_store_status::kOk) era_noticed_at_ = at.version;
  return at;
}

void fleet_sync::RecordTargetsRead(common::time_point sent) {
  const common::duration away = clock_.Now() - targets_current_at_;
  // The store may have been away while this process was suspended.
  if (EntriesMayBeOutdated() && away > kMissedReads * options_.targets_period) {
    ExpectOutdatedEntries();
  }
  targets_current_at_ = sent;
  if (away < options_.expiring_outage) return;
  common::LogEvent(log_event::kRemovalsHeld, "",
                   {{"away_ms", common::ToMillis(away)},
                    {"for_ms", common::ToMillis(options_.removal_grace)}});
  HoldRemovals();
}

bool fleet_sync::EntriesMayBeOutdated() const {
  return outdated_entries_until_ &&
         targets_current_at_ < *outdated_entries_until_;
}

void fleet_sync::ExpectOutdatedEntries() {
  outdated_entries_until_ = clock_.Now() + options_.entry_expiry;
  // What is still there then was written since, or it would have expired.
  RestartTimer(&expiry_timer_, options_.entry_expiry, [this] {
    possibly_outdated_.clear();
    ReadTargets();
  });
}

void fleet_sync::RecordFailure() {
  common::Metrics().Count("wisteria_store_failures_total");
  if (store_failing_) return;
  store_failing_ = true;
  if (ReliesOnReports()) ApplyReportedGone();
  common::LogEvent(log_event::kDependencyLost, "", {{"dependency", "store"}});
}

void fleet_sync::RecordSuccess() {
  if (!store_failing_) return;
  store_failing_ = false;
  common::LogEvent(log_event::kDependencyRegained, "",
                   {{"dependency", "store"}});
}

bool fleet_sync::RemovalsHeld() const {
  return removals_held_until_ && *removals_held_until_ > clock_.Now();
}

void fleet_sync::HoldRemovals() {
  full_read_pending_ = true;
  removals_held_until_ = clock_.Now() + options_.removal_grace;
  // Targets whose entries are still missing after that time are gone.
  RestartTimer(&removal_timer_, options_.removal_grace,
               [this] { ReadTargets(); });
}

}  // namespace wisteriadale::core
