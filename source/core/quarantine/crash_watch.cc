#include "core/quarantine/crash_watch.h"

#include <utility>

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

// An eviction costs time linear in the number of watched attempts.
constexpr common::duration kEvictionInterval = std::chrono::milliseconds(500);
constexpr int64_t kMicrosPerMilli = 1000;

}  // namespace

void crash_watch::OnLost(const target_entry& target,
                         const crash_suspicion& suspicion) {
  if (!suspicion.digest.empty()) {
    requests_.OnLost(suspicion.digest, 1,
                     targets_.MostEjected(target.service, clock_.Now()),
                     suspicion.request_id);
  }
  for (const std::string& part : suspicion.parts) {
    parts_.OnLost(part, suspicion.part_weight, false, suspicion.request_id);
  }
}

void crash_watch::OnDropped(const fleet_target& target,
                            const crash_suspicion& suspicion) {
  if (suspicion.digest.empty()) return;
  if (target.vanished) {
    OnLost(target.entry, suspicion);
    return;
  }
  EvictExpired();
  if (!MakeRoom()) {
    common::Metrics().Count("wisteria_crash_watches_not_kept_total");
    return;
  }
  watched_[target.entry.id][suspicion.digest] = {clock_.Now(), suspicion,
                                                 std::nullopt, 0};
}

void crash_watch::OnTargetAnswered(const std::string& target,
                                   common::time_point sent_at) {
  const auto found = watched_.find(target);
  if (found == watched_.end()) return;
  for (auto& [digest, attempt] : found->second) {
    if (attempt.at > sent_at || attempt.answered_at) continue;
    attempt.answered_at = clock_.Now();
    attempt.answered_wall_ms = clock_.WallMicros() / kMicrosPerMilli;
  }
  EvictExpired();
}

void crash_watch::OnAnswered(std::string_view digest) {
  for (auto each = watched_.begin(); each != watched_.end();) {
    const auto found = each->second.find(digest);
    if (found != each->second.end()) each->second.erase(found);
    each = each->second.empty() ? watched_.erase(each) : std::next(each);
  }
}

void crash_watch::OnTargetLeaving(const fleet_target& target) {
  const auto found = watched_.find(target.entry.id);
  if (found == watched_.end()) return;
  const attempts_by_digest attempts = std::move(found->second);
  watched_.erase(found);
  if (!target.vanished) return;
  for (const auto& [digest, attempt] : attempts) {
    if (Expired(attempt) || !CountsAsLost(target, attempt)) continue;
    common::Metrics().Count("wisteria_dropped_attempts_lost_total",
                            {{"service", target.entry.service}});
    OnLost(target.entry, attempt.suspicion);
  }
}

size_t crash_watch::size() const {
  size_t total = 0;
  for (const auto& [target, attempts] : watched_) {
    for (const auto& [digest, attempt] : attempts) {
      if (!attempt.answered_at) ++total;
    }
  }
  return total;
}

bool crash_watch::Expired(const dropped_attempt& attempt) const {
  return attempt.answered_at
             ? *attempt.answered_at + options_.restart_notice < clock_.Now()
             : attempt.at + options_.watch_time < clock_.Now();
}

bool crash_watch::CountsAsLost(const fleet_target& target,
                               const dropped_attempt& attempt) {
  if (!attempt.answered_at) return true;
  return target.next_started_ms != 0 &&
         target.next_started_ms <= attempt.answered_wall_ms;
}

void crash_watch::EvictExpired() {
  if (clock_.Now() < last_eviction_ + kEvictionInterval) return;
  last_eviction_ = clock_.Now();
  EraseIf([this](const dropped_attempt& attempt) { return Expired(attempt); });
}

bool crash_watch::MakeRoom() {
  const auto kept = [this] {
    size_t total = 0;
    for (const auto& [target, attempts] : watched_) total += attempts.size();
    return total;
  };
  if (kept() < options_.max_watched) return true;
  EraseIf([](const dropped_attempt& attempt) {
    return attempt.answered_at.has_value();
  });
  return kept() < options_.max_watched;
}

void crash_watch::EraseIf(
    const std::function<bool(const dropped_attempt&)>& condition) {
  for (auto each = watched_.begin(); each != watched_.end();) {
    std::erase_if(each->second, [&condition](const auto& entry) {
      return condition(entry.second);
    });
    each = each->second.empty() ? watched_.erase(each) : std::next(each);
  }
}

}  // namespace wisteriadale::core
