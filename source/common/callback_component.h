#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "common/supervisor.h"

namespace wisteriadale::common {

/// A component made of two functions, for a part that schedules itself and
/// cannot stop making progress on its own.
class callback_component final : public component {
 public:
  using starter = std::function<void()>;
  using stopper = std::function<void(const std::function<void()>&)>;

  /// @param start begins the work
  /// @param stop  ends it and calls its argument once nothing is in progress
  callback_component(std::string name, starter start, stopper stop)
      : name_(std::move(name)),
        start_(std::move(start)),
        stop_(std::move(stop)) {}

  std::string_view name() const override { return name_; }
  bool Start() override {
    start_();
    return true;
  }
  void Stop(std::function<void()> on_stopped) override { stop_(on_stopped); }
  bool Healthy() const override { return true; }

 private:
  std::string name_;
  starter start_;
  stopper stop_;
};

}  // namespace wisteriadale::common
