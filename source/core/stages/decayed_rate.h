#pragma once

#include <cmath>

#include "common/clock.h"

namespace wisteriadale::core {

/// Rate of recent events, with exponentially decaying weights.
class decayed_rate {
 public:
  /// @param time_constant after this time the weight of an event has dropped
  /// to 1/e, about a third
  explicit decayed_rate(common::duration time_constant)
      : time_constant_(time_constant) {}

  void Add(double count, common::time_point now) {
    sum_ = Decayed(now) + count;
    updated_at_ = now;
  }
  /// @return events per second
  double PerSecond(common::time_point now) const {
    return Decayed(now) / std::chrono::duration<double>(time_constant_).count();
  }

 private:
  double Decayed(common::time_point now) const {
    return sum_ * std::exp(-std::chrono::duration<double>(now - updated_at_) /
                           std::chrono::duration<double>(time_constant_));
  }

  common::duration time_constant_;
  double sum_ = 0;
  common::time_point updated_at_{};
};

}  // namespace wisteriadale::core
