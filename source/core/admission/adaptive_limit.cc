#include "core/admission/adaptive_limit.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

// Single failures are left to the retry policy; more indicate overload.
constexpr double kMaxFailureRate = 0.25;
constexpr double kMinDecreaseFactor = 0.5;  ///< bounds one decrease
/// Fraction of the limit that counts as low concurrency.
constexpr uint32_t kLowConcurrencyDivisor = 4;
/// Results at low concurrency that make the baseline latency up to date.
constexpr uint32_t kMinLowResults = 4;

double Smooth(double before, double value, double weight) {
  return before == 0 ? value : before + weight * (value - before);
}

}  // namespace

adaptive_limit::adaptive_limit(const adaptive_limit_options& options)
    : options_(options),
      limit_(std::clamp(options.initial, options.minimum, options.maximum)) {}

uint32_t adaptive_limit::LowConcurrency() const {
  return std::max(options_.minimum,
                  static_cast<uint32_t>(limit_) / kLowConcurrencyDivisor);
}

uint32_t adaptive_limit::Limit() const {
  return probing_ ? LowConcurrency() : static_cast<uint32_t>(limit_);
}

void adaptive_limit::OnResult(common::duration took, uint32_t running,
                              bool ok) {
  ++results_;
  max_running_ = std::max(max_running_, running);
  if (ok) {
    RecordLatency(static_cast<double>(took.count()), running);
  } else {
    ++failures_;
  }
  if (!probing_) MaybeAdjust();
}

void adaptive_limit::RecordLatency(double latency_us, uint32_t running) {
  ++window_results_;
  if (running <= LowConcurrency()) {
    ++window_low_results_;
    baseline_latency_us_ =
        Smooth(baseline_latency_us_, latency_us, options_.smoothing);
  }
  if (!probing_) {
    latency_us_ = Smooth(latency_us_, latency_us, options_.smoothing);
    if (baseline_latency_us_ == 0) baseline_latency_us_ = latency_us;
  }
  UpdateProbing();
}

void adaptive_limit::UpdateProbing() {
  if (probing_ && window_low_results_ >= kMinLowResults) {
    probing_ = false;
    window_results_ = 0;
    window_low_results_ = 0;
    results_ = 0;
    max_running_ = 0;
    return;
  }
  if (probing_ || window_results_ < options_.window) return;
  probing_ = window_low_results_ < kMinLowResults;
  window_results_ = 0;
  window_low_results_ = 0;
}

void adaptive_limit::MaybeAdjust() {
  if (results_ < Limit()) return;
  const bool failing = failures_ > kMaxFailureRate * results_;
  const double allowed_us = options_.tolerance * baseline_latency_us_;
  if (latency_us_ > allowed_us) {
    // The decrease is proportional to the excess latency.
    limit_ *= std::clamp(allowed_us / latency_us_, kMinDecreaseFactor,
                         options_.decrease);
  } else if (failing) {
    limit_ *= options_.decrease;
  } else if (max_running_ >= Limit()) {
    // Grow only when the limit was reached: otherwise there is no evidence that
    // the target can take more.
    limit_ += 1;
  }
  limit_ = std::clamp(limit_, static_cast<double>(options_.minimum),
                      static_cast<double>(options_.maximum));
  results_ = 0;
  max_running_ = 0;
  failures_ = 0;
}

}  // namespace wisteriadale::core
