#pragma once

#include <map>
#include <string>

#include "common/clock.h"
#include "common/result_code.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// Thresholds of the outlier detection and durations of ejections.
struct outlier_options {
  /// Failure rate above which a target is ejected.
  double failure_rate = 0.3;
  /// Ratio of a target's latency to the median of its pool above which it
  /// counts as slow.
  double latency_factor = 3.0;
  uint32_t min_samples = 8;  ///< before a target may be ejected
  /// Upper bound of the share of a pool's usable targets that are ejected.
  double max_ejected_share = 0.34;
  /// Duration of the first ejection; doubles with each consecutive one.
  common::duration base_ejection = std::chrono::seconds(5);
  common::duration max_ejection = std::chrono::seconds(60);
};

/// Passive outlier detection: ejects targets whose failure rate or latency is
/// far above that of their pool, even if they pass health checks.
class outlier_detector {
 public:
  outlier_detector(common::clock& clock, const outlier_options& options)
      : clock_(clock), options_(options) {}

  /// Records the result of an attempt; may eject the target.
  /// @param took duration of the attempt
  void OnOutcome(const target_pool& pool, target_view* view,
                 common::result_code code, common::duration took);

  /// @return whether the result is a failure of the target itself
  static bool CountsAsFailure(common::result_code code);

 private:
  /// Cached median latency of a pool.
  struct pool_median {
    common::time_point computed;
    double median_us = 0;
  };

  bool IsOutlier(const target_pool& pool, target_view* view);
  bool IsSlow(const target_pool& pool, const target_view& view);
  double MedianLatency(const target_pool& pool);
  bool MayEject(const target_pool& pool) const;
  void Eject(target_view* view);

  common::clock& clock_;
  outlier_options options_;
  std::map<std::string, pool_median, std::less<>> medians_;  ///< by pool
};

}  // namespace wisteriadale::core
