#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Clock and timers of one simulated process, on top of the virtual time that
/// all processes share. While the process is paused, its timers and events are
/// deferred; after Kill none of them runs.
class process_time final : public common::clock, public common::timer_service {
 public:
  explicit process_time(virtual_time& time) : time_(time) {}
  process_time(const process_time&) = delete;
  process_time& operator=(const process_time&) = delete;
  ~process_time() override { Kill(); }

  common::time_point Now() const override { return time_.Now(); }
  int64_t WallMicros() const override { return time_.WallMicros(); }

  common::timer_id Schedule(common::duration delay,
                            std::function<void()> action) override {
    const common::timer_id id = ++last_id_;
    const std::shared_ptr<state> shared = state_;
    const common::timer_id underlying_id = time_.Schedule(
        delay,
        [shared, id, action = std::move(action)] { Run(shared, id, action); });
    state_->underlying_ids[id] = underlying_id;
    return id;
  }

  void Cancel(common::timer_id id) override {
    const auto found = state_->underlying_ids.find(id);
    if (found == state_->underlying_ids.end()) return;
    time_.Cancel(found->second);
    state_->underlying_ids.erase(found);
  }

  /// Wraps an action so that it runs as an event of this process: deferred
  /// while the process is paused, dropped after Kill.
  /// @return the wrapped action; only its first call runs the action
  std::function<void()> Event(std::function<void()> action) {
    const common::timer_id id = ++last_id_;
    state_->underlying_ids[id] = 0;
    return [shared = state_, id, action = std::move(action)] {
      Run(shared, id, action);
    };
  }

  /// Defers timers and events until Resume.
  void Pause() { state_->paused = true; }
  /// Runs the deferred timers and events in order, until one of them pauses the
  /// process again or kills it.
  void Resume() {
    state_->paused = false;
    const std::shared_ptr<state> shared = state_;
    while (!shared->deferred.empty() && shared->alive && !shared->paused) {
      const deferred_event next = std::move(shared->deferred.front());
      shared->deferred.pop_front();
      Run(shared, next.id, next.action);
    }
  }
  /// Drops all timers and events for good.
  void Kill() {
    state_->alive = false;
    state_->deferred.clear();
  }
  bool paused() const { return state_->paused; }

 private:
  struct deferred_event {
    common::timer_id id = 0;
    std::function<void()> action;
  };
  struct state {
    bool alive = true;
    bool paused = false;
    std::deque<deferred_event> deferred;
    std::map<common::timer_id, common::timer_id> underlying_ids;
  };

  static void Run(const std::shared_ptr<state>& shared, common::timer_id id,
                  const std::function<void()>& action) {
    if (!shared->alive) return;
    if (shared->paused) {
      shared->deferred.push_back({id, action});
      return;
    }
    // A timer that was cancelled while it was deferred does not run.
    if (shared->underlying_ids.erase(id) == 0) return;
    action();
  }

  virtual_time& time_;
  std::shared_ptr<state> state_ = std::make_shared<state>();
  common::timer_id last_id_ = 0;
};

}  // namespace wisteriadale::fakes
