#include "core/admission/stage_latencies.h"

#include <algorithm>
#include <cmath>

namespace wisteriadale::core {
namespace {

constexpr double kLowestUs = 100;
constexpr double kGrowth = 1.15;  ///< of a bin over the one below it
constexpr uint32_t kHalveAfter = 200;
constexpr uint32_t kLeastSamples = 20;

}  // namespace

void latency_window::Add(common::duration latency) {
  const double ratio = static_cast<double>(latency.count()) / kLowestUs;
  const double bin = ratio <= 1 ? 0 : std::log(ratio) / std::log(kGrowth);
  bins_[std::min(static_cast<size_t>(bin), kBins - 1)] += 1;
  total_ += 1;
  samples_ = std::min(samples_ + 1, kLeastSamples);
  if (++since_halving_ < kHalveAfter) return;
  since_halving_ = 0;
  for (float& count : bins_) count /= 2;
  total_ /= 2;
}

common::duration latency_window::Quantile(double quantile) const {
  if (samples_ < kLeastSamples) return common::duration::zero();
  const double wanted = quantile * total_;
  double seen = 0;
  size_t bin = 0;
  for (; bin + 1 < kBins; ++bin) {
    seen += bins_[bin];
    if (seen >= wanted) break;
  }
  const double upper_us =
      kLowestUs * std::pow(kGrowth, static_cast<double>(bin) + 1);
  return common::duration(static_cast<int64_t>(upper_us));
}

void stage_latencies::Add(std::string_view stage, common::duration latency) {
  auto found = stages_.find(stage);
  if (found == stages_.end()) {
    found = stages_.emplace(stage, latency_window()).first;
  }
  found->second.Add(latency);
}

common::duration stage_latencies::Quantile(std::string_view stage,
                                           double quantile) const {
  const auto found = stages_.find(stage);
  return found == stages_.end() ? common::duration::zero()
                                : found->second.Quantile(quantile);
}

}  // namespace wisteriadale::core
