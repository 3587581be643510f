#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// Histogram of recent latencies with exponential bins. Old samples decay: all
/// counts are halved after a fixed number of new samples.
class decaying_latency_histogram {
 public:
  void Add(common::duration latency);
  /// @param quantile in [0, 1]
  /// @return the upper edge of the quantile's bin, up to 15% above the exact
  /// quantile; zero while there are too few samples
  common::duration Quantile(double quantile) const;

 private:
  static constexpr size_t kBins = 96;

  std::array<float, kBins> bins_{};
  float total_ = 0;             ///< sum of the bins
  uint32_t since_halving_ = 0;  ///< samples since the counts were halved
  uint32_t samples_ = 0;        ///< counted up to the minimum for a quantile
};

/// Latencies of the stages of all pipelines, as measured by this router.
class stage_latencies {
 public:
  /// Records the latency of a successful attempt.
  /// @param stage key of the stage, see StageKey
  void Add(std::string_view stage, common::duration latency);
  /// @return the latency quantile of a stage; zero while there are too few
  /// samples
  common::duration Quantile(std::string_view stage, double quantile) const;

 private:
  std::map<std::string, decaying_latency_histogram, std::less<>> stages_;
};

}  // namespace wisteriadale::core
