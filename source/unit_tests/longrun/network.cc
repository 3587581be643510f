#include "unit_tests/longrun/network.h"

#include <algorithm>

namespace wisteriadale::longrun {
namespace {

constexpr int64_t kMaxDelayUs = 4000;
constexpr common::duration kCloseDelay = std::chrono::milliseconds(200);

}  // namespace

void connection::Send(int end, const core::message& message) {
  if (broken_ || silent_[end]) return;
  if (router_closed_) return;
  const common::duration delay(1 + random_.Below(kMaxDelayUs));
  common::time_point arrival =
      std::max(time_.Now() + delay, last_arrival_[end]);
  if (end == 1) arrival = std::max(arrival, stalled_until_);
  last_arrival_[end] = arrival;
  time_.Schedule(arrival - time_.Now(), [this, alive = alive_, end, message] {
    if (!*alive || broken_ || silent_[end]) return;
    if (end == 0 && router_closed_) return;
    ends_[end].on_message(message);
  });
}

void connection::CloseByRouter() {
  if (router_closed_ || broken_) return;
  router_closed_ = true;
  const common::time_point notice =
      std::max(time_.Now() + kCloseDelay, last_arrival_[1]);
  time_.Schedule(notice - time_.Now(), [this, alive = alive_] {
    if (!*alive || broken_) return;
    broken_ = true;
    ends_[1].on_closed();
  });
}

void connection::Break() {
  if (broken_) return;
  broken_ = true;
  ends_[1].on_closed();
  if (!router_closed_) ends_[0].on_closed();
}

void connection::Silence(bool to_agent, bool to_router) {
  silent_[1] = silent_[1] || to_agent;
  silent_[0] = silent_[0] || to_router;
}

}  // namespace wisteriadale::longrun
