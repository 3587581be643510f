#include "core/quarantine/crash_suspects.h"

#include <algorithm>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr std::string_view kPartPrefix = "part:";

}  // namespace

crash_suspects_options PartSuspectsOptions() {
  crash_suspects_options options;
  // Three losses of strong evidence, or five of weak evidence.
  options.crashes_to_refuse = 5;
  options.loss_interval = std::chrono::milliseconds(250);
  options.answer_window = std::chrono::seconds(2);
  return options;
}

std::string PartDigest(std::string_view part_id) {
  return std::string(kPartPrefix).append(part_id);
}

bool IsPartDigest(std::string_view digest) {
  return digest.starts_with(kPartPrefix);
}

common::duration crash_suspects::DurationFor(uint32_t crashes) const {
  if (crashes < options_.crashes_to_refuse) return options_.suspect_duration;
  common::duration refusal = options_.initial_refusal;
  for (uint32_t i = options_.crashes_to_refuse; i < crashes; ++i) {
    refusal *= options_.refusal_growth;
    if (refusal >= options_.max_refusal) return options_.max_refusal;
  }
  return refusal;
}

bool crash_suspects::IsSuspect(std::string_view digest) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && found->second.until > clock_.Now();
}

common::duration crash_suspects::RemainingRefusal(
    std::string_view digest) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end() ||
      found->second.crashes < options_.crashes_to_refuse) {
    return common::duration(0);
  }
  const common::duration left = found->second.until - clock_.Now();
  // After the refusal the request is tried once more; its count is kept.
  return std::max(left, common::duration(0));
}

bool crash_suspects::Counts(const entry* known, bool widespread) const {
  if (widespread) return false;
  const common::time_point now = clock_.Now();
  if (options_.answer_window.count() > 0 &&
      now - last_answer_ > options_.answer_window) {
    return false;
  }
  return known == nullptr || now - known->last_loss >= options_.loss_interval;
}

void crash_suspects::OnLost(const std::string& digest, uint32_t weight,
                            bool widespread, std::string_view request_id) {
  const auto found = entries_.find(digest);
  const entry* known = found == entries_.end() ? nullptr : &found->second;
  const bool counts = Counts(known, widespread);
  const uint32_t crashes = (known == nullptr ? 0 : known->crashes) + weight;
  common::LogEvent(common::log_event::kCrashSuspected, request_id,
                   {{"digest", digest},
                    {"crashes", int64_t{crashes}},
                    {"weight", int64_t{weight}},
                    {"counted", counts}});
  if (!counts) return;
  Record(digest, crashes);
  if (on_report_) on_report_({digest, crashes});
}

void crash_suspects::OnAnswered(std::string_view digest) {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return;
  const std::string cleared = found->first;
  entries_.erase(found);
  if (on_report_) on_report_({cleared, 0});
}

void crash_suspects::Merge(const crash_report& report) {
  const auto found = entries_.find(report.digest);
  if (report.crashes == 0) {
    if (found != entries_.end()) entries_.erase(found);
    return;
  }
  if (found != entries_.end() && found->second.crashes >= report.crashes) {
    return;
  }
  Record(report.digest, report.crashes);
}

std::vector<crash_report> crash_suspects::Reports(uint32_t min_crashes) const {
  std::vector<crash_report> reports;
  for (const auto& [digest, known] : entries_) {
    if (known.crashes < min_crashes) continue;
    reports.push_back({digest, known.crashes});
  }
  return reports;
}

std::optional<crash_state> crash_suspects::StateOf(
    std::string_view digest) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return std::nullopt;
  const entry& known = found->second;
  if (KeptUntil(known) <= clock_.Now()) return std::nullopt;
  return crash_state{known.crashes, known.until, KeptUntil(known)};
}

void crash_suspects::Restore(const crash_report& report,
                             common::time_point until) {
  const entry restored = {report.crashes, until, clock_.Now()};
  if (KeptUntil(restored) <= clock_.Now()) return;
  const auto found = entries_.find(report.digest);
  if (found != entries_.end() && found->second.crashes >= report.crashes) {
    return;
  }
  if (MakeRoomFor(report.digest)) entries_[report.digest] = restored;
}

void crash_suspects::Record(const std::string& digest, uint32_t crashes) {
  if (!MakeRoomFor(digest)) return;
  const common::time_point now = clock_.Now();
  entries_[digest] = {crashes, now + DurationFor(crashes), now};
  if (crashes < options_.crashes_to_refuse) return;
  common::Metrics().Count("wisteria_convictions_total");
  common::LogEvent(common::log_event::kQuarantined, "",
                   {{"digest", digest},
                    {"crashes", int64_t{crashes}},
                    {"for_ms", common::ToMillis(DurationFor(crashes))}});
}

bool crash_suspects::MakeRoomFor(std::string_view digest) {
  const common::time_point now = clock_.Now();
  std::erase_if(entries_, [this, now](const auto& each) {
    return KeptUntil(each.second) <= now;
  });
  if (entries_.size() < options_.max_suspects || entries_.contains(digest)) {
    return true;
  }
  common::Metrics().Count("wisteria_suspects_not_kept_total");
  return false;
}

common::time_point crash_suspects::KeptUntil(const entry& known) const {
  // The count outlives the refusal, so that the next crash prolongs it.
  return known.crashes < options_.crashes_to_refuse
             ? known.until
             : known.until + options_.max_refusal;
}

}  // namespace wisteriadale::core
