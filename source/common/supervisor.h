#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::common {

/// A part of a process that can be started, stopped and restarted.
class component {
 public:
  virtual ~component() = default;
  /// @return the name in logs and metrics
  virtual std::string_view name() const = 0;
  /// @return false with LastError set when it cannot start now
  virtual bool Start() = 0;
  /// Stops the work.
  /// @param on_stopped called once nothing is in progress any more
  virtual void Stop(std::function<void()> on_stopped) = 0;
  /// @return false when it no longer makes progress and must be restarted
  virtual bool Healthy() const = 0;
};

/// When a supervisor restarts its children and when it gives up.
struct supervision_options {
  duration check_period = std::chrono::seconds(1);
  duration restart_delay = std::chrono::milliseconds(100);  ///< doubled per try
  duration max_restart_delay = std::chrono::seconds(10);
  uint32_t max_restarts = 5;  ///< within restart_window, then it gives up
  duration restart_window = std::chrono::minutes(1);
};

/// A node of the supervisor tree. It starts its children in order, restarts a
/// child that fails or is no longer healthy, and stops them in reverse order.
/// A child that needs too many restarts makes the supervisor itself unhealthy,
/// which its own parent handles.
class supervisor final : public component {
 public:
  supervisor(std::string name, clock& clock, timer_service& timers,
             const supervision_options& options)
      : name_(std::move(name)),
        clock_(clock),
        timers_(timers),
        options_(options) {}
  ~supervisor() override;
  supervisor(const supervisor&) = delete;
  supervisor& operator=(const supervisor&) = delete;

  /// @param action called once when the supervisor gives up restarting a child
  void SetGiveUpHandler(std::function<void()> action) {
    give_up_handler_ = std::move(action);
  }

  /// Adds a child; the supervisor does not own it.
  void Add(component& child);

  std::string_view name() const override { return name_; }
  bool Start() override;
  void Stop(std::function<void()> on_stopped) override;
  bool Healthy() const override { return !gave_up_; }

 private:
  enum class child_state { kStopped, kRunning, kRestarting };

  struct child {
    component* part = nullptr;
    child_state state = child_state::kStopped;
    duration next_delay{0};
    timer_id timer = 0;
    std::deque<time_point> restarts;  ///< within the window
  };

  bool StartChild(child* entry);
  void RestartChild(child* entry);
  void ScheduleStart(child* entry);
  /// Gives up when the child has used all restarts of the window.
  bool MayRestart(child* entry);
  void Check();
  /// Stops the first `count` children, in reverse order.
  void StopFrom(size_t count, const std::function<void()>& on_stopped);

  std::string name_;
  clock& clock_;
  timer_service& timers_;
  supervision_options options_;
  std::vector<std::unique_ptr<child>> children_;
  timer_id check_timer_ = 0;
  bool stopping_ = false;
  bool gave_up_ = false;
  std::function<void()> give_up_handler_;
};

}  // namespace wisteriadale::common
