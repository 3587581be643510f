#include "core/routing/outlier_detector.h"

#include <algorithm>
#include <vector>

#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

constexpr double kSmoothing = 0.15;  ///< EWMA weight of a new sample
/// Time for which a median is cached.
constexpr common::duration kMedianPeriod = std::chrono::milliseconds(500);
constexpr size_t kMinTargetsForMedian = 3;
/// Slow samples in a row before a target counts as an outlier.
constexpr uint32_t kMinSlowStreak = 5;

}  // namespace

bool outlier_detector::CountsAsFailure(result_code code) {
  return code == result_code::kTargetFailed ||
         code == result_code::kTargetLost || code == result_code::kAnswerCut ||
         code == result_code::kPeerLost;
}

void outlier_detector::OnOutcome(const target_pool& pool, target_view* view,
                                 result_code code, common::duration took) {
  const bool failed = CountsAsFailure(code);
  if (!failed && code != result_code::kOk) return;
  target_health& health = view->health;
  ++health.samples;
  health.failure_rate +=
      kSmoothing * ((failed ? 1.0 : 0.0) - health.failure_rate);
  if (!failed) {
    const double took_us = static_cast<double>(took.count());
    health.latency_us =
        health.latency_us == 0
            ? took_us
            : health.latency_us + kSmoothing * (took_us - health.latency_us);
  }
  if (health.samples < options_.min_samples) return;
  if (health.ejected_until > clock_.Now()) return;
  if (!IsOutlier(pool, view)) {
    // Enough samples without an ejection reset the back-off.
    if (health.samples >= 2 * options_.min_samples) health.ejection_streak = 0;
    return;
  }
  if (MayEject(pool)) Eject(view);
}

bool outlier_detector::IsOutlier(const target_pool& pool, target_view* view) {
  if (view->health.failure_rate > options_.failure_rate) return true;
  if (!IsSlow(pool, *view)) {
    view->health.slow_streak = 0;
    return false;
  }
  // When a whole pool becomes slow, its targets do so one after another: wait
  // for more samples, then compare with a fresh median.
  if (++view->health.slow_streak < kMinSlowStreak) return false;
  medians_.erase(pool.name);
  return IsSlow(pool, *view);
}

bool outlier_detector::IsSlow(const target_pool& pool,
                              const target_view& view) {
  const double median = MedianLatency(pool);
  return median > 0 &&
         view.health.latency_us > options_.latency_factor * median;
}

double outlier_detector::MedianLatency(const target_pool& pool) {
  pool_median& cached = medians_[pool.name];
  const common::time_point now = clock_.Now();
  if (cached.median_us > 0 && now - cached.computed < kMedianPeriod) {
    return cached.median_us;
  }
  std::vector<double> latencies;
  for (const target_view* view : pool.members) {
    if (view->health.latency_us > 0) {
      latencies.push_back(view->health.latency_us);
    }
  }
  cached.computed = now;
  cached.median_us = 0;
  if (latencies.size() < kMinTargetsForMedian) return 0;
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  cached.median_us = *middle;
  return cached.median_us;
}

bool outlier_detector::MayEject(const target_pool& pool) const {
  const common::time_point now = clock_.Now();
  size_t ejected = 0;
  size_t usable = 0;
  for (const target_view* view : pool.members) {
    if (!view->Usable()) continue;
    ++usable;
    if (view->health.ejected_until > now) ++ejected;
  }
  const double allowed =
      options_.max_ejected_share * static_cast<double>(usable);
  return static_cast<double>(ejected + 1) <= allowed;
}

void outlier_detector::Eject(target_view* view) {
  target_health& health = view->health;
  const int64_t factor = int64_t{1} << std::min(health.ejection_streak, 10U);
  const common::duration ejection_time =
      std::min(options_.base_ejection * factor, options_.max_ejection);
  ++health.ejection_streak;
  health.ejected_until = clock_.Now() + ejection_time;
  health.samples = 0;
  health.slow_streak = 0;
  health.failure_rate = 0;
  health.latency_us = 0;
  // The target goes through slow start again after the ejection.
  view->available_since = health.ejected_until;
  common::Metrics().Count("wisteria_targets_ejected_total",
                          {{"pool", view->pool}});
  common::Log(common::log_channel::kRequest, common::log_level::kWarning,
              "ejected target " + view->id);
}

}  // namespace wisteriadale::core
