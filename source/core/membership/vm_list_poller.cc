#include "core/membership/vm_list_poller.h"

namespace wisteriadale::core {

bool vm_list_poller::Start() {
  ++run_;
  last_answer_ = clock_.Now();
  Poll();
  return true;
}

void vm_list_poller::Stop(std::function<void()> on_stopped) {
  ++run_;
  timers_.Cancel(timer_);
  timer_ = 0;
  on_stopped();
}

bool vm_list_poller::Healthy() const {
  return clock_.Now() - last_answer_ <= options_.stall_timeout;
}

void vm_list_poller::Poll() {
  timer_ = 0;
  source_.Fetch(
      [this, run = run_](const std::optional<std::vector<vm_entry>>& entries) {
        if (run != run_) return;
        last_answer_ = clock_.Now();
        if (entries) on_list_(*entries);
        timer_ = timers_.Schedule(options_.period, [this] { Poll(); });
      });
}

}  // namespace wisteriadale::core
