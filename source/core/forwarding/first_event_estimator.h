#pragma once

#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

struct first_event_estimator_options {
  /// After this time the weight of an observation has dropped to about a third.
  common::duration time_constant = std::chrono::seconds(20);
  /// What is assumed of a service that has not been observed: the time without
  /// a prompt, and the speed at which prompts are read.
  common::duration initial_base = std::chrono::milliseconds(60);
  double initial_tokens_per_ms = 100;
  /// Observations that weigh as much as that assumption.
  double initial_weight = 6;
  /// Slowest and fastest speed that is believed.
  double min_tokens_per_ms = 4;
  double max_tokens_per_ms = 2000;
};

/// Straight line through recent observations, with exponentially decaying
/// weights.
class decayed_line {
 public:
  /// @param decay factor on the weights of earlier observations
  void Add(double x, double y, double decay);
  /// @param assumed_slope weighs as much as `weight` observations
  double Slope(double assumed_slope, double weight) const;
  /// @return value at 0 of the line with the given slope
  double Base(double assumed_base, double weight, double slope) const;

 private:
  double count_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

/// Learns from responses how long the engines of each service take from a
/// request to its first event, by the length of its prompt: with what they have
/// cached, their queues and their speed as they are at present.
class first_event_estimator {
 public:
  first_event_estimator(const first_event_estimator_options& options,
                        const common::clock& clock)
      : options_(options), clock_(&clock) {}

  /// Records the head of a successful response, which engines send with their
  /// first event.
  /// @param took since the request was sent to its target
  void OnFirstEvent(const std::string& service, uint32_t prompt_tokens,
                    common::duration took);
  /// @return time from sending a request to a target to its first event
  common::duration Expected(std::string_view service,
                            uint32_t prompt_tokens) const;

 private:
  struct service_times {
    decayed_line millis_by_tokens;
    common::time_point updated{};
  };

  first_event_estimator_options options_;
  const common::clock* clock_;
  std::map<std::string, service_times, std::less<>> services_;
};

}  // namespace wisteriadale::core
