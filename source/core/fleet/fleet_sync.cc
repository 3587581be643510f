#include "core/fleet/fleet_sync.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/last_reason.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

/// Keys themselves are never logged.
void LogDroppedKeys(const route_table& before, const route_table& now) {
  for (const organisation_spec& organisation :
       before.document().organisations) {
    int64_t dropped = 0;
    for (const std::string& key : organisation.keys) {
      if (now.FindKey(key) == nullptr) ++dropped;
    }
    if (dropped == 0) continue;
    common::LogEvent(log_event::kKeyDropped, "",
                     {{"organisation", organisation.name},
                      {"keys", dropped},
                      {"version", static_cast<int64_t>(now.version())}});
  }
}

// Part of the bound for leaving targets between two questions: the rest is for
// an answer that is lost and asked for again.
constexpr double kTargetsPeriodShare = 0.3;
// Shorter bounds would have a store of hundreds of calls a second asked without
// a pause.
constexpr common::milliseconds kLeastPeriod{100};
// Stores let a question wait no longer.
constexpr common::milliseconds kLongestWait{30000};

}  // namespace

fleet_sync_options MakeSyncOptions(common::duration routes_bound,
                                   common::duration leaving_bound,
                                   common::duration answer_bound) {
  fleet_sync_options options;
  options.routes_wait =
      std::clamp(std::chrono::duration_cast<common::milliseconds>(routes_bound -
                                                                  answer_bound),
                 kLeastPeriod, kLongestWait);
  options.targets_period =
      std::max(common::duration(kLeastPeriod),
               common::FromSeconds(
                   kTargetsPeriodShare *
                   std::chrono::duration<double>(leaving_bound).count()));
  return options;
}

fleet_sync::~fleet_sync() {
  timers_.Cancel(routes_timer_);
  timers_.Cancel(targets_timer_);
  timers_.Cancel(hold_timer_);
}

void fleet_sync::Start() {
  ReadRoutes();
  ReadTargets();
}

void fleet_sync::Later(common::timer_id* timer, common::duration delay,
                       std::function<void()> action) {
  timers_.Cancel(*timer);
  *timer = timers_.Schedule(delay, std::move(action));
}

void fleet_sync::ReadRoutes() {
  rows_.ReadTable(codec_.locations().routes_table,
                  [this, alive = std::weak_ptr<bool>(alive_)](
                      const row_store_result& answer) {
                    if (!alive.expired()) OnRoutesAnswer(answer, true);
                  });
}

void fleet_sync::WatchRoutes() {
  rows_.ReadChanges(
      codec_.locations().routes_table, routes_version_, options_.routes_wait,
      [this,
       alive = std::weak_ptr<bool>(alive_)](const row_store_result& answer) {
        if (!alive.expired()) OnRoutesAnswer(answer, false);
      });
}

void fleet_sync::OnRoutesAnswer(const row_store_result& answer, bool whole) {
  if (answer.status == row_store_status::kCompacted) {
    common::LogEvent(
        log_event::kDependencyLost, "",
        {{"dependency", "history of the store"}, {"read_again", "routes"}});
    ReadRoutes();
    return;
  }
  if (answer.status != row_store_status::kOk) {
    NoteFailure();
    Later(&routes_timer_, options_.retry_delay,
          [this, whole] { whole ? ReadRoutes() : WatchRoutes(); });
    return;
  }
  NoteAnswer();
  for (const stored_row& row : answer.rows) {
    if (row.key == codec_.locations().routes_key && !row.removed) {
      ApplyRoutes(row.value, "store");
    }
  }
  // An answer may be behind what was already seen.
  if (answer.version > routes_version_) routes_version_ = answer.version;
  if (whole && !routes_.current()) {
    Later(&routes_timer_, options_.retry_delay, [this] { WatchRoutes(); });
    return;
  }
  WatchRoutes();
}

void fleet_sync::ApplyRoutes(std::string_view text, std::string_view source) {
  if (text == routes_text_) return;
  std::optional<route_document> document = codec_.DecodeRoutes(text);
  if (!document) {
    common::Metrics().Count("wisteria_routes_refused_total");
    common::LogEvent(log_event::kRoutesRefused, "",
                     {{"reason", common::LastReason().text}});
    return;
  }
  const uint64_t version = document->version;
  const std::shared_ptr<const route_table> table =
      std::make_shared<const route_table>(std::move(*document));
  const std::shared_ptr<const route_table> before = routes_.current();
  if (!routes_.ReplaceIfNewer(table)) return;
  if (before) LogDroppedKeys(*before, *table);
  routes_text_ = text;
  common::LogEvent(
      log_event::kRoutesApplied, "",
      {{"version", static_cast<int64_t>(version)},
       {"routes", static_cast<int64_t>(table->document().routes.size())},
       {"source", source}});
  if (on_routes_) on_routes_();
}

void fleet_sync::ReadTargets() {
  rows_.ReadTable(codec_.locations().targets_table,
                  [this, alive = std::weak_ptr<bool>(alive_)](
                      const row_store_result& answer) {
                    if (!alive.expired()) OnTargetsAnswer(answer, true);
                  });
}

void fleet_sync::WatchTargets() {
  rows_.ReadChanges(codec_.locations().targets_table, targets_version_,
                    common::milliseconds(0),
                    [this, alive = std::weak_ptr<bool>(alive_)](
                        const row_store_result& answer) {
                      if (!alive.expired()) OnTargetsAnswer(answer, false);
                    });
}

void fleet_sync::OnTargetsAnswer(const row_store_result& answer, bool whole) {
  if (answer.status == row_store_status::kCompacted) {
    common::LogEvent(
        log_event::kDependencyLost, "",
        {{"dependency", "history of the store"}, {"read_again", "targets"}});
    ReadTargets();
    return;
  }
  if (answer.status != row_store_status::kOk) {
    NoteFailure();
    Later(&targets_timer_, options_.retry_delay,
          [this, whole] { whole ? ReadTargets() : WatchTargets(); });
    return;
  }
  NoteAnswer();
  // An answer from behind what was seen would bring back targets that left.
  const bool behind = answer.version < targets_version_;
  if (!behind) {
    ApplyTargets(answer.rows, whole);
    targets_version_ = answer.version;
  }
  const bool read_again = whole && behind;
  Later(&targets_timer_, options_.targets_period,
        [this, read_again] { read_again ? ReadTargets() : WatchTargets(); });
}

void fleet_sync::ApplyTargets(std::span<const stored_row> rows, bool whole) {
  const bool hold =
      removals_held_until_ && *removals_held_until_ > clock_.Now();
  if (!whole || hold) {
    for (const stored_row& row : rows) {
      if (hold && row.removed) continue;
      ApplyRow(row);
    }
    return;
  }
  std::vector<target_entry> entries;
  for (const stored_row& row : rows) {
    std::optional<target_entry> entry = Decode(row);
    if (entry) entries.push_back(std::move(*entry));
  }
  targets_.Replace(entries);
}

void fleet_sync::ApplyRow(const stored_row& row) {
  if (row.removed) {
    targets_.Remove(row.key);
    return;
  }
  const std::optional<target_entry> entry = Decode(row);
  if (entry) {
    targets_.Update(*entry);
  } else {
    targets_.Remove(row.key);
  }
}

std::optional<target_entry> fleet_sync::Decode(const stored_row& row) const {
  std::optional<target_entry> entry = codec_.DecodeTarget(row.key, row.value);
  if (entry) return entry;
  common::Metrics().Count("wisteria_target_entries_refused_total");
  common::LogEvent(log_event::kEntryRefused, "",
                   {{"entry", row.key}, {"reason", common::LastReason().text}});
  return std::nullopt;
}

void fleet_sync::ApplyLeavingTargets(std::span<const std::string> draining,
                                     std::span<const std::string> gone) {
  for (const std::string& id : draining) targets_.MarkLeaving(id);
  if (!failing_) return;
  for (const std::string& id : gone) targets_.Remove(id);
}

void fleet_sync::NoteFailure() {
  common::Metrics().Count("wisteria_store_failures_total");
  if (failing_) return;
  failing_ = true;
  common::LogEvent(log_event::kDependencyLost, "", {{"dependency", "store"}});
}

void fleet_sync::NoteAnswer() {
  if (!failing_) return;
  failing_ = false;
  common::LogEvent(log_event::kDependencyRegained, "",
                   {{"dependency", "store"}});
  removals_held_until_ = clock_.Now() + options_.removal_hold;
  // What is still missing then is gone.
  Later(&hold_timer_, options_.removal_hold, [this] { ReadTargets(); });
}

}  // namespace wisteriadale::core
