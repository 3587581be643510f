#include "unit_tests/longrun/network.h"

#include <algorithm>

namespace wisteriadale::longrun {
namespace {

constexpr int64_t kMaxDelayUs = 4000;
constexpr int64_t kMaxReorderUs = 30000;
constexpr double kGarbledShare = 0.2;
constexpr common::duration kCloseDelay = std::chrono::milliseconds(200);

}  // namespace

void connection::Send(int end, const core::message& message) {
  if (broken_ || silent_[end]) return;
  if (router_closed_) return;
  const auto* chunk = std::get_if<core::chunk_message>(&message);
  if (garbled_ && chunk != nullptr && random_.Uniform() < kGarbledShare) {
    SendGarbled(*chunk);
    return;
  }
  const common::duration delay(1 + random_.Below(kMaxDelayUs));
  common::time_point arrival =
      std::max(time_.Now() + delay, last_arrival_[end]);
  if (end == 1) arrival = std::max(arrival, stalled_until_);
  last_arrival_[end] = arrival;
  Deliver(end, message, arrival - time_.Now());
}

void connection::SendGarbled(const core::chunk_message& chunk) {
  core::chunk_message sent = chunk;
  switch (random_.Below(4)) {
    case 0:  // lost
      return;
    case 1:  // reordered
      break;
    case 2:  // doubled
      Deliver(0, sent, common::duration(1));
      break;
    default:  // foreign, beside the right one
      Deliver(0, sent, common::duration(1));
      sent.organisation = "others";
      std::reverse(sent.data.begin(), sent.data.end());
      sent.offset += sent.data.size();
      break;
  }
  Deliver(0, sent, common::duration(random_.Below(kMaxReorderUs)));
}

void connection::Deliver(int end, const core::message& message,
                         common::duration delay) {
  time_.Schedule(delay, [this, alive = alive_, end, message] {
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
