#include "core/membership/vm_list_poller.h"

namespace wisteriadale::core {

bool vm_list_poller::Start() {
  ++generation_;
  last_result_ = clock_.Now();
  Poll();
  return true;
}

void vm_list_poller::Stop(std::function<void()> on_stopped) {
  ++generation_;
  timers_.Cancel(timer_);
  timer_ = 0;
  on_stopped();
}

bool vm_list_poller::Healthy() const {
  return clock_.Now() - last_result_ <= options_.stall_timeout;
}

void vm_list_poller::Poll() {
  timer_ = 0;
  source_.Fetch([this, generation = generation_](
                    const std::optional<std::vector<vm_entry>>& entries) {
    if (generation != generation_) return;
    last_result_ = clock_.Now();
    if (entries) on_list_(*entries);
    timer_ = timers_.Schedule(options_.period, [this] { Poll(); });
  });
}

}  // namespace wisteriadale::core
