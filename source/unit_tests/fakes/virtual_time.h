#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "common/clock.h"

/// In-memory implementations of the core's interfaces, for tests.
namespace wisteriadale::fakes {

/// Clock and timers under virtual time, which moves only in Advance and Pause.
class virtual_time final : public common::clock, public common::timer_service {
 public:
  common::time_point Now() const override { return now_; }
  int64_t WallMicros() const override {
    return kEpochMicros + now_.time_since_epoch().count();
  }

  common::timer_id Schedule(common::duration delay,
                            std::function<void()> action) override {
    const common::timer_id id = next_id_++;
    queue_.emplace(key{now_ + delay, id}, std::move(action));
    due_.emplace(id, now_ + delay);
    return id;
  }

  void Cancel(common::timer_id id) override {
    const auto found = due_.find(id);
    if (found == due_.end()) return;
    queue_.erase(key{found->second, id});
    due_.erase(found);
  }

  /// Moves time forward and runs the timers that expire, in order of expiry.
  /// @param by how far to move
  void Advance(common::duration by) {
    const common::time_point end = now_ + by;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      const auto first = queue_.begin();
      // Timers that expired during a pause run late; time never goes back.
      now_ = std::max(now_, first->first.first);
      const std::function<void()> action = std::move(first->second);
      due_.erase(first->first.second);
      queue_.erase(first);
      action();
    }
    now_ = std::max(now_, end);
  }

  /// Moves time forward without running timers, as when the process is
  /// suspended.
  /// @param by how far to move
  void Pause(common::duration by) { now_ += by; }

  /// @return the number of scheduled timers
  size_t pending() const { return queue_.size(); }

 private:
  static constexpr int64_t kEpochMicros = 1700000000000000;
  using key = std::pair<common::time_point, common::timer_id>;

  common::time_point now_{};
  common::timer_id next_id_ = 1;
  std::map<key, std::function<void()>> queue_;
  std::map<common::timer_id, common::time_point> due_;
};

}  // namespace wisteriadale::fakes
