// What the targets of a queue can do, and what waits in it.

#include <algorithm>

#include "core/stages/piece_queue.h"

namespace wisteriadale::core {
namespace {

// Share of the throughput that late jobs are assumed to get even when jobs in
// time seem to take all of it: rates are accurate to a few percent.
constexpr double kMinLateShare = 0.04;

}  // namespace

queue_throughput piece_queue::Throughput() const {
  const size_t filled = std::min<size_t>(queued_pieces(), spec_.max_pieces);
  return {total_rate_, CallTime(1), CallTime(std::max<size_t>(filled, 1))};
}

double piece_queue::PiecesPerSecond(const target_directory::pool& targets,
                                    double max_slowness,
                                    common::time_point now) const {
  const double full_seconds =
      std::chrono::duration<double>(CallTime(spec_.max_pieces)).count();
  double rate = 0;
  for (const std::shared_ptr<fleet_target>& each : targets) {
    if (!each->Usable(now) || each->slowness > max_slowness) continue;
    const double by_time = static_cast<double>(spec_.slots) * spec_.max_pieces /
                           (full_seconds * std::max(1.0, each->slowness));
    rate += std::min(by_time, memory_.ResultsPerSecond(each->entry.id));
  }
  return rate;
}

double piece_queue::LateRate(double rate, common::time_point now) const {
  return std::max(rate - in_time_rate_.PerSecond(now), rate * kMinLateShare);
}

service_load piece_queue::Load(const target_directory::pool& targets,
                               common::time_point now) const {
  service_load load;
  load.pieces_per_s = PiecesPerSecond(targets, kNoSlownessLimit, now);
  load.call_time = smoothed_call_time_;
  load.late_pieces_per_s = LateRate(load.pieces_per_s, now);
  const auto add = [&](uint32_t priority, size_t pieces) {
    for (size_t level = PriorityLevel(priority); level < kPriorityLevels;
         ++level) {
      load.ahead[level] += static_cast<uint32_t>(pieces);
    }
  };
  for (const std::unique_ptr<queued_job>& each : jobs_) {
    if (each->is_late || IsLate(*each, now)) {
      load.late_pieces += static_cast<uint32_t>(each->pending_pieces.size());
    } else {
      add(each->job.priority, each->pending_pieces.size());
    }
  }
  for (const auto& [key, upcoming] : upcoming_stages_) {
    if (upcoming.expires > now) add(upcoming.priority, upcoming.pieces);
  }
  return load;
}

}  // namespace wisteriadale::core
