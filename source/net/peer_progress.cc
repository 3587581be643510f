#include "net/peer_progress.h"

#include <algorithm>

namespace wisteriadale::net {
namespace {

constexpr common::duration kMinCheckPeriod = std::chrono::milliseconds(10);
// A single probe, or its answer, may be lost on the way.
constexpr uint32_t kProbesToBeSilent = 2;
constexpr common::duration kProbeAnswerTime = std::chrono::milliseconds(100);

}  // namespace

void peer_progress::Begin(common::time_point now, uint64_t delivered) {
  began_ = progressed_ = now;
  unanswered_since_ = {};
  delivered_ = delivered;
  next_check_ = kMaxCheckPeriod;
}

bool peer_progress::AcknowledgementOverdue(const peer_sample& sample) {
  if (sample.unanswered_probes < kProbesToBeSilent) {
    unanswered_since_ = {};
    return sample.unacknowledged_segments > 0;
  }
  if (unanswered_since_ == common::time_point()) unanswered_since_ = sample.now;
  return sample.unacknowledged_segments > 0 ||
         sample.now - unanswered_since_ >= kProbeAnswerTime;
}

peer_state peer_progress::Judge(const peer_sample& sample) {
  if (sample.delivered != delivered_) {
    delivered_ = sample.delivered;
    progressed_ = sample.now;
  }
  // An idle connection has had nothing to acknowledge.
  const common::duration silence =
      std::min(sample.since_acknowledgement, sample.now - began_);
  const bool overdue = AcknowledgementOverdue(sample);
  if (silence >= kSilenceTimeout && overdue) return peer_state::kSilent;
  if (sample.now - progressed_ >= stall_timeout_) return peer_state::kStalled;
  next_check_ = silence >= kSilenceTimeout
                    ? kProbeAnswerTime
                    : std::clamp(kSilenceTimeout - silence, kMinCheckPeriod,
                                 kMaxCheckPeriod);
  return peer_state::kAlive;
}

}  // namespace wisteriadale::net
