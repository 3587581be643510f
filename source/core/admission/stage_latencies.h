#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// Quantiles of recent latencies. Old ones fade: the counts are halved each
/// time a number of new ones has come.
class latency_window {
 public:
  void Add(common::duration latency);
  /// @param quantile in [0, 1]
  /// @return the quantile, about 10% accurate; zero while too few are known
  common::duration Quantile(double quantile) const;

 private:
  static constexpr size_t kBins = 96;

  std::array<float, kBins> bins_{};
  float total_ = 0;
  uint32_t since_halving_ = 0;
  uint32_t samples_ = 0;
};

/// Latencies of the stages of all pipelines, as this router measured them.
class stage_latencies {
 public:
  /// An attempt of a stage ended well.
  void Add(std::string_view stage, common::duration latency);
  /// @return the quantile of a stage's attempts; zero while not known
  common::duration Quantile(std::string_view stage, double quantile) const;

 private:
  std::map<std::string, latency_window, std::less<>> stages_;
};

}  // namespace wisteriadale::core
