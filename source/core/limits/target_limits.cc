#include "core/limits/target_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

// A target that takes nothing is still asked this often: else it could not say
// that its need is over.
constexpr double kMinPerSecond = 0.2;
// Bounds the memory used; there are 3,700 targets at the largest size.
constexpr size_t kMaxEntries = 4096;
constexpr double kNoLimit = -1;  // in the log

}  // namespace

std::optional<double> target_limits::LimitOf(std::string_view target,
                                             int64_t started_ms) const {
  if (empty()) return std::nullopt;
  std::optional<double> limit;
  const auto found = entries_.find(target);
  if (found != entries_.end() && found->second.limited &&
      found->second.started_ms == started_ms) {
    limit = std::max(found->second.per_second, kMinPerSecond);
  }
  const auto cold = cold_.find(target);
  if (cold != cold_.end() && cold->second.started_ms == started_ms) {
    const double rate = std::max(cold->second.per_second, kMinPerSecond);
    limit = limit ? std::min(*limit, rate) : rate;
  }
  return limit;
}

bool target_limits::IsNamed(std::string_view target) const {
  const auto found = entries_.find(target);
  return found != entries_.end() && found->second.limited;
}

void target_limits::SetCold(const target_entry& target, double per_second,
                            common::time_point until) {
  const auto found = cold_.find(target.id);
  if (per_second <= 0) {
    if (found != cold_.end()) EndCold(found);
    return;
  }
  if (found == cold_.end() && cold_.size() >= kMaxEntries) return;
  const bool begun = found == cold_.end();
  cold_[target.id] = {target.started_ms, per_second, until};
  if (!begun) return;
  common::Metrics().Set("wisteria_cold_targets",
                        static_cast<double>(cold_.size()));
  common::LogEvent(log_event::kTargetCold, "",
                   {{"target", target.id},
                    {"service", target.service},
                    {"per_second", per_second},
                    {"for_ms", common::ToMillis(until - clock_.Now())}});
  if (!IsNamed(target.id) && on_begun_) on_begun_(target.id);
}

size_t target_limits::EndColdUntil(common::time_point then) {
  for (auto each = cold_.begin(); each != cold_.end();) {
    each = each->second.until <= then ? EndCold(each) : std::next(each);
  }
  return cold_.size();
}

target_limits::cold_map::iterator target_limits::EndCold(
    cold_map::iterator position) {
  const std::string target = position->first;
  const cold_map::iterator next = cold_.erase(position);
  common::Metrics().Set("wisteria_cold_targets",
                        static_cast<double>(cold_.size()));
  if (!IsNamed(target) && on_ended_) on_ended_(target);
  return next;
}

void target_limits::OnResponse(const target_entry& target,
                               const limit_observation& observation,
                               std::string_view request_id) {
  const request_limit& limit = observation.limit;
  if (limit.statement == limit_statement::kInvalid) {
    common::Metrics().Count("wisteria_limits_invalid_total",
                            {{"service", target.service}});
    common::LogEvent(log_event::kLimitInvalid, request_id,
                     {{"target", target.id}, {"service", target.service}});
    return;
  }
  const bool named = limit.statement == limit_statement::kNamed;
  const auto found = entries_.find(target.id);
  const bool was_limited = found != entries_.end() && found->second.limited;
  if (!named && (!was_limited || !observation.conclusive)) return;
  double previous = kNoLimit;
  if (found != entries_.end()) {
    const entry& known = found->second;
    // A late response of an earlier start.
    if (target.started_ms < known.started_ms) return;
    const bool same_start = target.started_ms == known.started_ms;
    if (!named && same_start && observation.sent_at <= known.observed_at) {
      return;
    }
    if (known.limited) previous = known.per_second;
  }
  entry observed;
  observed.started_ms = target.started_ms;
  observed.limited = named && limit.per_second < kMaxLimitPerSecond;
  observed.per_second = observed.limited ? limit.per_second : 0;
  observed.observed_at = named ? clock_.Now() : observation.sent_at;
  if (!Apply(target.id, observed)) return;
  Log(target.id, request_id, "response", previous);
  if (on_report_) on_report_(ToReport(target.id, observed));
}

void target_limits::Merge(const limit_report& report,
                          std::string_view gateway) {
  if (!std::isfinite(report.per_second) || report.per_second < 0) {
    common::LogEvent(log_event::kLimitInvalid, "",
                     {{"target", report.target}, {"gateway", gateway}});
    return;
  }
  entry observed;
  observed.started_ms = report.started_ms;
  observed.limited = !report.ended && report.per_second < kMaxLimitPerSecond;
  observed.per_second = observed.limited ? report.per_second : 0;
  observed.observed_at =
      clock_.Now() - std::max(report.age, common::milliseconds(0));
  const auto known = entries_.find(report.target);
  double previous = kNoLimit;
  if (known != entries_.end()) {
    const entry& before = known->second;
    const bool outdated = before.started_ms > observed.started_ms ||
                          (before.started_ms == observed.started_ms &&
                           before.observed_at > observed.observed_at);
    if (outdated) return;
    if (before.limited) previous = before.per_second;
  }
  if (Apply(report.target, observed)) Log(report.target, "", gateway, previous);
}

bool target_limits::Apply(const std::string& target, const entry& observed) {
  if (!entries_.contains(target)) EvictIfFull();
  const auto [position, is_new] = entries_.try_emplace(target);
  entry& known = position->second;
  const bool changed = is_new ? observed.limited
                              : known.limited != observed.limited ||
                                    known.per_second != observed.per_second ||
                                    known.started_ms != observed.started_ms;
  const bool begun = !known.limited && observed.limited;
  const bool ended = known.limited && !observed.limited;
  limited_ -= known.limited ? 1 : 0;
  limited_ += observed.limited ? 1 : 0;
  known = observed;
  common::Metrics().Set("wisteria_limited_targets",
                        static_cast<double>(limited_));
  const bool is_cold = cold_.contains(target);
  if (begun && !is_cold && on_begun_) on_begun_(target);
  if (ended && !is_cold && on_ended_) on_ended_(target);
  return changed;
}

void target_limits::Erase(
    std::map<std::string, entry, std::less<>>::iterator position) {
  const std::string target = position->first;
  limited_ -= position->second.limited ? 1 : 0;
  entries_.erase(position);
  common::Metrics().Set("wisteria_limited_targets",
                        static_cast<double>(limited_));
  if (!cold_.contains(target) && on_ended_) on_ended_(target);
}

void target_limits::Forget(std::string_view target, int64_t started_ms) {
  const auto cold = cold_.find(target);
  if (cold != cold_.end() && cold->second.started_ms <= started_ms) {
    EndCold(cold);
  }
  const auto found = entries_.find(target);
  if (found == entries_.end() || found->second.started_ms > started_ms) return;
  Erase(found);
}

void target_limits::EvictIfFull() {
  if (entries_.size() < kMaxEntries) return;
  Erase(std::min_element(entries_.begin(), entries_.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.observed_at <
                                  right.second.observed_at;
                         }));
}

limit_report target_limits::ToReport(const std::string& target,
                                     const entry& known) const {
  return {target, known.started_ms, !known.limited, known.per_second,
          std::chrono::duration_cast<common::milliseconds>(clock_.Now() -
                                                           known.observed_at)};
}

std::vector<limit_report> target_limits::Reports() const {
  std::vector<limit_report> reports;
  for (const auto& [target, known] : entries_) {
    if (known.limited) reports.push_back(ToReport(target, known));
  }
  return reports;
}

void target_limits::Log(const std::string& target, std::string_view request_id,
                        std::string_view source, double previous) const {
  const entry& known = entries_.find(target)->second;
  common::LogEvent(
      known.limited ? log_event::kLimitNamed : log_event::kLimitEnded,
      request_id,
      {{"target", target},
       {"per_second", known.limited ? known.per_second : kNoLimit},
       {"previous", previous},
       {"source", source},
       {"age_ms", common::ToMillis(clock_.Now() - known.observed_at)}});
}

}  // namespace wisteriadale::core
