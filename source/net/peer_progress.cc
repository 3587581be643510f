#include "net/peer_progress.h"

#include <algorithm>

namespace wisteriadale::net {
namespace {

constexpr common::duration kMaxCheckPeriod = std::chrono::milliseconds(250);
constexpr common::duration kMinCheckPeriod = std::chrono::milliseconds(10);

}  // namespace

void peer_progress::Begin(common::time_point now, uint64_t delivered) {
  began_ = progressed_ = now;
  delivered_ = delivered;
  next_check_ = kMaxCheckPeriod;
}

peer_state peer_progress::Judge(const peer_sample& sample) {
  if (sample.delivered != delivered_) {
    delivered_ = sample.delivered;
    progressed_ = sample.now;
  }
  // An idle connection has had nothing to acknowledge.
  const common::duration silence =
      std::min(sample.since_acknowledgement, sample.now - began_);
  if (silence >= kSilenceTimeout) return peer_state::kSilent;
  if (sample.now - progressed_ >= stall_timeout_) return peer_state::kStalled;
  next_check_ =
      std::clamp(kSilenceTimeout - silence, kMinCheckPeriod, kMaxCheckPeriod);
  return peer_state::kAlive;
}

}  // namespace wisteriadale::net
