#pragma once

#include <map>
#include <string>

#include "common/clock.h"
#include "common/result_code.h"
#include "core/routing/target_view.h"

namespace wisteriadale::core {

/// When a target is taken for an outlier, and for how long.
struct outlier_options {
  double failure_rate = 0.3;    ///< above it a target is ejected
  double latency_factor = 3.0;  ///< over the median of its pool
  uint32_t min_samples = 8;
  double max_ejected_share = 0.34;  ///< of a pool that may be ejected
  common::duration base_ejection = std::chrono::seconds(5);
  common::duration max_ejection = std::chrono::seconds(60);
};

/// Takes targets that fail or lag behind their pool out of the choice for a
/// while: also those that answer health checks.
class outlier_detector {
 public:
  outlier_detector(common::clock& clock, const outlier_options& options)
      : clock_(clock), options_(options) {}

  /// An attempt ended.
  void OnOutcome(const target_pool& pool, target_view* view,
                 common::result_code code, common::duration took);

  /// @return whether the result says something about the target
  static bool CountsAsFailure(common::result_code code);

 private:
  /// What is recomputed for a pool now and then.
  struct pool_state {
    common::time_point computed;
    double median_latency_us = 0;
  };

  bool IsOutlier(const target_pool& pool, target_view* view);
  bool IsSlow(const target_pool& pool, const target_view& view);
  double MedianLatency(const target_pool& pool);
  bool MayEject(const target_pool& pool) const;
  void Eject(target_view* view);

  common::clock& clock_;
  outlier_options options_;
  std::map<std::string, pool_state, std::less<>> pools_;
};

}  // namespace wisteriadale::core
