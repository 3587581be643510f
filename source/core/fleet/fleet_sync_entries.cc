// Applies the entries of targets, and what other gateways say of them.

#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/last_error.h"
#include "common/metrics.h"
#include "core/fleet/fleet_sync.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

// Stands for the content of an entry that was refused.
constexpr uint64_t kRefusedContent = 0;

/// @return a digest of what an entry says; of the time that the target stays
/// cold, which changes with each heartbeat, only whether there is any
uint64_t ContentDigest(const target_entry& entry) {
  std::string text;
  for (const std::string* each :
       {&entry.service, &entry.address, &entry.data_centre}) {
    text.append(*each).push_back('\n');
  }
  text.append(std::to_string(entry.slots)).push_back('\n');
  text.append(std::to_string(entry.started_ms)).push_back('\n');
  text.append(entry.draining ? "draining" : "ready");
  text.append(entry.warm_up_remaining.count() > 0 ? "\ncold" : "");
  return common::Hash64(text);
}

}  // namespace

void fleet_sync::ApplyTargets(std::span<const stored_row> rows, bool full) {
  const bool hold_removals = RemovalsHeld();
  if (!full || hold_removals) {
    for (const stored_row& row : rows) {
      if (hold_removals && row.removed) continue;
      ApplyRow(row);
    }
    return;
  }
  std::set<std::string_view> listed;
  contents_.clear();
  for (const stored_row& row : rows) {
    const std::optional<target_entry> entry = Decode(row);
    RecordContent(row, entry);
    if (!entry) continue;
    listed.insert(row.key);
    ApplyEntry(*entry, row.version);
  }
  targets_.RemoveMissing(listed);
  full_read_pending_ = false;
}

void fleet_sync::RecordContent(const stored_row& row,
                               const std::optional<target_entry>& entry) {
  if (row.removed) {
    contents_.erase(row.key);
  } else {
    const uint64_t digest = entry ? ContentDigest(*entry) : kRefusedContent;
    const auto [known, is_new] = contents_.try_emplace(row.key, digest);
    if (!is_new && known->second == digest) return;
    known->second = digest;
  }
  last_content_change_ = std::max(last_content_change_, row.version);
  changed_rows_.push_back(row);
}

void fleet_sync::ApplyRow(const stored_row& row) {
  const std::optional<target_entry> entry =
      row.removed ? std::nullopt : Decode(row);
  RecordContent(row, entry);
  if (row.removed) {
    targets_.Remove(row.key);
    return;
  }
  if (entry) {
    ApplyEntry(*entry, row.version);
  } else {
    targets_.Remove(row.key);
  }
}

void fleet_sync::ApplyEntry(const target_entry& entry, uint64_t version) {
  const bool may_be_old = EntriesMayBeOutdated() &&
                          (!era_noticed_at_ || version <= *era_noticed_at_);
  if (may_be_old) {
    possibly_outdated_.insert(entry.id);
  } else {
    possibly_outdated_.erase(entry.id);
  }
  const entry_origin origin =
      may_be_old ? entry_origin::kRestoredStore : entry_origin::kStore;
  if (targets_.Update(entry, origin)) return;
  common::LogEvent(
      log_event::kEntryOutdated, "",
      {{"entry", entry.id},
       {"started_ms", entry.started_ms},
       {"draining", entry.draining},
       {"version", static_cast<int64_t>(version)},
       {"era_noticed_at", static_cast<int64_t>(era_noticed_at_.value_or(0))},
       {"doubted_for_ms",
        common::ToMillis(*outdated_entries_until_ - targets_current_at_)}});
}

std::optional<target_entry> fleet_sync::Decode(const stored_row& row) const {
  std::optional<target_entry> entry = codec_.DecodeTarget(row.key, row.value);
  if (entry) return entry;
  common::Metrics().Count("wisteria_target_entries_refused_total");
  common::LogEvent(log_event::kEntryRefused, "",
                   {{"entry", row.key}, {"reason", common::LastError().text}});
  return std::nullopt;
}

void fleet_sync::ApplyLeavingTargets(std::span<const target_start> draining,
                                     std::span<const target_start> gone) {
  for (const target_start& each : draining) targets_.MarkLeaving(each);
  for (const target_start& each : gone) {
    if (EntriesMayBeOutdated() && possibly_outdated_.contains(each.id)) {
      targets_.Remove(each);
    } else {
      reported_gone_.push_back({each, clock_.Now()});
    }
  }
  if (ReliesOnReports()) ApplyReportedGone();
}

bool fleet_sync::ReliesOnReports() const {
  return RemovalsHeld() ||
         (store_failing_ && targets_relayed_until_ <= clock_.Now());
}

void fleet_sync::ApplyReportedGone() {
  if (!reported_gone_.empty()) removed_on_reports_ = true;
  for (const gone_target& each : std::exchange(reported_gone_, {})) {
    targets_.Remove(each.start);
  }
}

}  // namespace wisteriadale::core
