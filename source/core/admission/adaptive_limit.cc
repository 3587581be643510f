#include "core/admission/adaptive_limit.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

// A stray failure is the retry policy's business; many mean too much load.
constexpr double kFailedShare = 0.25;
constexpr double kLargestDecrease = 0.5;
constexpr uint32_t kProbeDivisor = 4;
constexpr uint32_t kProbeResults = 4;

double Smooth(double before, double value, double weight) {
  return before == 0 ? value : before + weight * (value - before);
}

}  // namespace

adaptive_limit::adaptive_limit(const adaptive_limit_options& options)
    : options_(options),
      limit_(std::clamp(options.initial, options.minimum, options.maximum)) {}

uint32_t adaptive_limit::LowRunning() const {
  return std::max(options_.minimum,
                  static_cast<uint32_t>(limit_) / kProbeDivisor);
}

uint32_t adaptive_limit::Limit() const {
  return probing_ ? LowRunning() : static_cast<uint32_t>(limit_);
}

void adaptive_limit::OnResult(common::duration took, uint32_t running,
                              bool ok) {
  ++results_since_step_;
  most_running_ = std::max(most_running_, running);
  if (ok) {
    Learn(static_cast<double>(took.count()), running);
  } else {
    ++failures_;
  }
  if (!probing_) MaybeStep();
}

void adaptive_limit::Learn(double took_us, uint32_t running) {
  ++window_results_;
  if (running <= LowRunning()) {
    ++window_low_results_;
    reference_us_ = Smooth(reference_us_, took_us, options_.smoothing);
  }
  if (!probing_) {
    smoothed_us_ = Smooth(smoothed_us_, took_us, options_.smoothing);
    if (reference_us_ == 0) reference_us_ = took_us;
  }
  CloseWindow();
}

void adaptive_limit::CloseWindow() {
  if (probing_ && window_low_results_ >= kProbeResults) {
    probing_ = false;
    window_results_ = 0;
    window_low_results_ = 0;
    results_since_step_ = 0;
    most_running_ = 0;
    return;
  }
  if (probing_ || window_results_ < options_.window) return;
  probing_ = window_low_results_ < kProbeResults;
  window_results_ = 0;
  window_low_results_ = 0;
}

void adaptive_limit::MaybeStep() {
  if (results_since_step_ < Limit()) return;
  const bool failing = failures_ > kFailedShare * results_since_step_;
  const double allowed_us = options_.tolerance * reference_us_;
  if (smoothed_us_ > allowed_us) {
    // The further above, the larger the step.
    limit_ *= std::clamp(allowed_us / smoothed_us_, kLargestDecrease,
                         options_.decrease);
  } else if (failing) {
    limit_ *= options_.decrease;
  } else if (most_running_ >= Limit()) {
    // A limit that was not reached tells nothing about a higher one.
    limit_ += 1;
  }
  limit_ = std::clamp(limit_, static_cast<double>(options_.minimum),
                      static_cast<double>(options_.maximum));
  results_since_step_ = 0;
  most_running_ = 0;
  failures_ = 0;
}

}  // namespace wisteriadale::core
