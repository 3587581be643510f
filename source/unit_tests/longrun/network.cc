#include "unit_tests/longrun/network.h"

#include <algorithm>

namespace wisteriadale::longrun {
namespace {

constexpr int64_t kMaxDelayUs = 4000;
constexpr int64_t kMaxReorderUs = 30000;
constexpr double kCorruptedShare = 0.2;
constexpr common::duration kCloseDelay = std::chrono::milliseconds(200);

}  // namespace

void connection::Send(int side, const core::message& message) {
  if (broken_ || silent_[side]) return;
  if (router_closed_) return;
  const auto* chunk = std::get_if<core::chunk_message>(&message);
  if (corrupting_ && chunk != nullptr && random_.Uniform() < kCorruptedShare) {
    SendCorrupted(*chunk);
    return;
  }
  const common::duration delay(1 + random_.Below(kMaxDelayUs));
  common::time_point arrival =
      std::max(time_.Now() + delay, last_arrival_[side]);
  if (side == 1) arrival = std::max(arrival, stalled_until_);
  last_arrival_[side] = arrival;
  Deliver(side, message, arrival - time_.Now());
}

void connection::SendCorrupted(const core::chunk_message& chunk) {
  core::chunk_message corrupted = chunk;
  switch (random_.Below(4)) {
    case 0:  // lost
      return;
    case 1:  // reordered
      break;
    case 2:  // duplicated
      Deliver(0, corrupted, common::duration(1));
      break;
    default:  // one of another organisation, beside the right one
      Deliver(0, corrupted, common::duration(1));
      corrupted.organisation = "others";
      std::reverse(corrupted.data.begin(), corrupted.data.end());
      corrupted.offset += corrupted.data.size();
      break;
  }
  Deliver(0, corrupted, common::duration(random_.Below(kMaxReorderUs)));
}

void connection::Deliver(int side, const core::message& message,
                         common::duration delay) {
  time_.Schedule(delay, [this, alive = alive_, side, message] {
    if (!*alive || broken_ || silent_[side]) return;
    if (side == 0 && router_closed_) return;
    endpoints_[side].on_message(message);
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
    endpoints_[1].on_closed();
  });
}

void connection::Break() {
  if (broken_) return;
  broken_ = true;
  endpoints_[1].on_closed();
  if (!router_closed_) endpoints_[0].on_closed();
}

void connection::Silence(bool to_agent, bool to_router) {
  silent_[1] = silent_[1] || to_agent;
  silent_[0] = silent_[0] || to_router;
}

}  // namespace wisteriadale::longrun
