#include "core/admission/stage_latencies.h"

#include <algorithm>
#include <cmath>

namespace wisteriadale::core {
namespace {

constexpr double kLowestEdgeUs =
    100;  ///< shorter latencies are in the first bin too
constexpr double kGrowth = 1.15;  ///< upper edge of a bin over its lower edge
constexpr uint32_t kSamplesPerHalving = 200;
constexpr uint32_t kMinSamples = 20;  ///< for a quantile

}  // namespace

void decaying_latency_histogram::Add(common::duration latency) {
  const double ratio = static_cast<double>(latency.count()) / kLowestEdgeUs;
  const double bin = ratio <= 1 ? 0 : std::log(ratio) / std::log(kGrowth);
  bins_[std::min(static_cast<size_t>(bin), kBins - 1)] += 1;
  total_ += 1;
  samples_ = std::min(samples_ + 1, kMinSamples);
  if (++since_halving_ < kSamplesPerHalving) return;
  since_halving_ = 0;
  for (float& count : bins_) count /= 2;
  total_ /= 2;
}

common::duration decaying_latency_histogram::Quantile(double quantile) const {
  if (samples_ < kMinSamples) return common::duration::zero();
  const double target_count = quantile * total_;
  double count_below = 0;
  size_t bin = 0;
  for (; bin + 1 < kBins; ++bin) {
    count_below += bins_[bin];
    if (count_below >= target_count) break;
  }
  const double upper_us =
      kLowestEdgeUs * std::pow(kGrowth, static_cast<double>(bin) + 1);
  return common::duration(static_cast<int64_t>(upper_us));
}

void stage_latencies::Add(std::string_view stage, common::duration latency) {
  auto found = stages_.find(stage);
  if (found == stages_.end()) {
    found = stages_.emplace(stage, decaying_latency_histogram()).first;
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
