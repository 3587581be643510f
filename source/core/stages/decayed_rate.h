#pragma once

#include <cmath>

#include "common/clock.h"

namespace wisteriadale::core {

/// A rate that follows what was lately counted: older counts weigh less.
class decayed_rate {
 public:
  /// @param memory after this time a count weighs a third
  explicit decayed_rate(common::duration memory) : memory_(memory) {}

  void Add(double count, common::time_point now) {
    sum_ = Decayed(now) + count;
    at_ = now;
  }
  /// @return counts a second
  double PerSecond(common::time_point now) const {
    return Decayed(now) / std::chrono::duration<double>(memory_).count();
  }

 private:
  double Decayed(common::time_point now) const {
    return sum_ * std::exp(-std::chrono::duration<double>(now - at_) /
                           std::chrono::duration<double>(memory_));
  }

  common::duration memory_;
  double sum_ = 0;
  common::time_point at_{};
};

}  // namespace wisteriadale::core
