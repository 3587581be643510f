#include "core/routing/outlier_detector.h"

#include <algorithm>
#include <vector>

#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

constexpr double kSmoothing = 0.15;
constexpr common::duration kMedianPeriod = std::chrono::milliseconds(500);
constexpr size_t kLeastForMedian = 3;
constexpr uint32_t kLeastSlowRow = 5;

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
    // A full set of good samples ends a row of ejections.
    if (health.samples >= 2 * options_.min_samples)
      health.consecutive_ejections = 0;
    return;
  }
  if (MayEject(pool)) Eject(view);
}

bool outlier_detector::IsOutlier(const target_pool& pool, target_view* view) {
  if (view->health.failure_rate > options_.failure_rate) return true;
  if (!IsSlow(pool, *view)) {
    view->health.consecutive_slow = 0;
    return false;
  }
  // A pool that slows as a whole reaches its targets one after another.
  if (++view->health.consecutive_slow < kLeastSlowRow) return false;
  pools_.erase(pool.name);
  return IsSlow(pool, *view);
}

bool outlier_detector::IsSlow(const target_pool& pool,
                              const target_view& view) {
  const double median = MedianLatency(pool);
  return median > 0 &&
         view.health.latency_us > options_.latency_factor * median;
}

double outlier_detector::MedianLatency(const target_pool& pool) {
  pool_state& state = pools_[pool.name];
  const common::time_point now = clock_.Now();
  if (state.median_latency_us > 0 && now - state.computed < kMedianPeriod) {
    return state.median_latency_us;
  }
  std::vector<double> latencies;
  for (const target_view* view : pool.members) {
    if (view->health.latency_us > 0) {
      latencies.push_back(view->health.latency_us);
    }
  }
  state.computed = now;
  state.median_latency_us = 0;
  if (latencies.size() < kLeastForMedian) return 0;
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  state.median_latency_us = *middle;
  return state.median_latency_us;
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
  const int64_t factor = int64_t{1}
                         << std::min(health.consecutive_ejections, 10U);
  const common::duration length =
      std::min(options_.base_ejection * factor, options_.max_ejection);
  ++health.consecutive_ejections;
  health.ejected_until = clock_.Now() + length;
  health.samples = 0;
  health.consecutive_slow = 0;
  health.failure_rate = 0;
  health.latency_us = 0;
  // It starts slowly again when it comes back.
  view->available_since = health.ejected_until;
  common::Metrics().Count("wisteria_targets_ejected_total",
                          {{"pool", view->pool}});
  common::Log(common::log_channel::kRequest, common::log_level::kWarning,
              "ejected target " + view->id);
}

}  // namespace wisteriadale::core
