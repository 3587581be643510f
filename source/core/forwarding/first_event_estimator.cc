#include "core/forwarding/first_event_estimator.h"

#include <algorithm>
#include <cmath>

namespace wisteriadale::core {
namespace {

// Variance of the prompt lengths that the assumption stands for, in tokens
// squared: prompts of several thousand tokens.
constexpr double kAssumedVariance = 1e7;

double Millis(common::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

void decayed_line::Add(double x, double y, double decay) {
  for (double* each : {&count_, &sum_x_, &sum_y_, &sum_xx_, &sum_xy_}) {
    *each *= decay;
  }
  count_ += 1;
  sum_x_ += x;
  sum_y_ += y;
  sum_xx_ += x * x;
  sum_xy_ += x * y;
}

double decayed_line::Slope(double assumed_slope, double weight) const {
  double covariance = 0;
  double variance = 0;
  if (count_ > 0) {
    covariance = sum_xy_ - sum_x_ * sum_y_ / count_;
    variance = std::max(0.0, sum_xx_ - sum_x_ * sum_x_ / count_);
  }
  const double assumed = weight * kAssumedVariance;
  return (covariance + assumed * assumed_slope) / (variance + assumed);
}

double decayed_line::Base(double assumed_base, double weight,
                          double slope) const {
  return (sum_y_ - slope * sum_x_ + weight * assumed_base) / (count_ + weight);
}

void first_event_estimator::OnFirstEvent(const std::string& service,
                                         uint32_t prompt_tokens,
                                         common::duration took) {
  const common::time_point now = clock_->Now();
  service_times& times = services_[service];
  const double decay =
      std::exp(-std::chrono::duration<double>(now - times.updated) /
               std::chrono::duration<double>(options_.time_constant));
  times.updated = now;
  times.millis_by_tokens.Add(prompt_tokens, Millis(took), decay);
}

common::duration first_event_estimator::Expected(std::string_view service,
                                                 uint32_t prompt_tokens) const {
  const auto found = services_.find(service);
  const decayed_line line = found == services_.end()
                                ? decayed_line()
                                : found->second.millis_by_tokens;
  const double slope = std::clamp(
      line.Slope(1 / options_.initial_tokens_per_ms, options_.initial_weight),
      1 / options_.max_tokens_per_ms, 1 / options_.min_tokens_per_ms);
  const double base = std::max(0.0, line.Base(Millis(options_.initial_base),
                                              options_.initial_weight, slope));
  return common::FromSeconds((base + slope * prompt_tokens) / 1000);
}

}  // namespace wisteriadale::core
