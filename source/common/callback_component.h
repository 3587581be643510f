#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "common/supervisor.h"

namespace wisteriadale::common {

/// A component made of two callbacks, for work that schedules itself and cannot
/// stall on its own. It always reports itself healthy.
class callback_component final : public component {
 public:
  using start_callback = std::function<void()>;
  using stop_callback = std::function<void(const std::function<void()>&)>;

  /// @param start starts the work
  /// @param stop  stops it and calls its argument once nothing is in progress
  callback_component(std::string name, start_callback start, stop_callback stop)
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
  start_callback start_;
  stop_callback stop_;
};

}  // namespace wisteriadale::common
