#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Clock and timers of one simulated process under shared virtual time. While
/// the process is paused, what falls due waits; once killed, nothing runs.
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
    const common::timer_id real = time_.Schedule(
        delay,
        [shared, id, action = std::move(action)] { Run(shared, id, action); });
    state_->real_ids[id] = real;
    return id;
  }

  void Cancel(common::timer_id id) override {
    const auto found = state_->real_ids.find(id);
    if (found == state_->real_ids.end()) return;
    time_.Cancel(found->second);
    state_->real_ids.erase(found);
  }

  /// @return a function that runs the action as an event of this process
  std::function<void()> Event(std::function<void()> action) {
    const common::timer_id id = ++last_id_;
    state_->real_ids[id] = 0;
    return [shared = state_, id, action = std::move(action)] {
      Run(shared, id, action);
    };
  }

  void Pause() { state_->paused = true; }
  void Wake() {
    state_->paused = false;
    const std::shared_ptr<state> shared = state_;
    while (!shared->held.empty() && shared->alive && !shared->paused) {
      const held_event next = std::move(shared->held.front());
      shared->held.pop_front();
      Run(shared, next.id, next.action);
    }
  }
  void Kill() {
    state_->alive = false;
    state_->held.clear();
  }
  bool paused() const { return state_->paused; }

 private:
  struct held_event {
    common::timer_id id = 0;
    std::function<void()> action;
  };
  struct state {
    bool alive = true;
    bool paused = false;
    std::deque<held_event> held;
    std::map<common::timer_id, common::timer_id> real_ids;
  };

  static void Run(const std::shared_ptr<state>& shared, common::timer_id id,
                  const std::function<void()>& action) {
    if (!shared->alive) return;
    if (shared->paused) {
      shared->held.push_back({id, action});
      return;
    }
    // A timer that was cancelled while it was held does not run.
    if (shared->real_ids.erase(id) == 0) return;
    action();
  }

  virtual_time& time_;
  std::shared_ptr<state> state_ = std::make_shared<state>();
  common::timer_id last_id_ = 0;
};

}  // namespace wisteriadale::fakes
