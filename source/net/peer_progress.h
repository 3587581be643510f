#pragma once

#include <chrono>
#include <cstdint>

#include "common/clock.h"

namespace wisteriadale::net {

/// How long a peer that lacks bytes may acknowledge nothing that it was sent,
/// not even probes: shorter than the two seconds after which callers of a
/// stream time out.
constexpr common::duration kSilenceTimeout = std::chrono::milliseconds(1900);
/// How long a peer that acknowledges probes may take none of the bytes.
constexpr common::duration kStallTimeout = std::chrono::seconds(30);

/// Longest time between two samples.
constexpr common::duration kMaxCheckPeriod = std::chrono::milliseconds(250);

enum class peer_state {
  kAlive,    ///< takes bytes, however slowly, or has stopped for a while
  kSilent,   ///< acknowledges nothing: gone, frozen or cut off
  kStalled,  ///< acknowledges, with a closed window
};

/// What the kernel tells of a connection whose peer lacks bytes.
struct peer_sample {
  common::time_point now;
  uint64_t delivered = 0;                    ///< bytes acknowledged so far
  common::duration since_acknowledgement{};  ///< of anything
  uint32_t unacknowledged_segments = 0;      ///< sent and not acknowledged
  uint32_t unanswered_probes = 0;            ///< of a closed window, in a row
};

/// Tells a slow peer from one that is gone, while it lacks bytes.
class peer_progress {
 public:
  void SetStallTimeout(common::duration limit) { stall_timeout_ = limit; }
  /// Starts to judge the peer, when it begins to lack bytes.
  /// @param delivered bytes acknowledged so far
  void Begin(common::time_point now, uint64_t delivered);
  peer_state Judge(const peer_sample& sample);
  /// @return time until the next sample is needed
  common::duration NextCheck() const { return next_check_; }

 private:
  /// @return whether the peer has had the time to acknowledge what it was sent
  bool AcknowledgementOverdue(const peer_sample& sample);

  common::duration stall_timeout_ = kStallTimeout;
  common::duration next_check_{};
  common::time_point began_{};
  common::time_point progressed_{};
  /// When several probes were first seen unanswered; zero: they are not.
  common::time_point unanswered_since_{};
  uint64_t delivered_ = 0;
};

}  // namespace wisteriadale::net
