#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"

namespace wisteriadale::core {

/// What a gateway has learnt about the request limit of a target.
struct limit_report {
  std::string target;           ///< id
  int64_t started_ms = 0;       ///< wall time of the target's start
  bool ended = false;           ///< the target no longer names a limit
  double per_second = 0;        ///< from all gateways together
  common::milliseconds age{0};  ///< of the observation
  bool operator==(const limit_report&) const = default;
};

/// Asks the owner of a target's slots for one: the permission to send a request
/// to a target that named a limit.
struct slot_request {
  uint64_t id = 0;  ///< returned in the reply; unique at the sender
  std::string target;
  int64_t started_ms = 0;
  /// The limit as the sender knows it, in case the owner has not heard of it.
  double per_second = 0;
  common::milliseconds max_delay{0};  ///< latest time at which it is of use
  /// Time until the last slot that the sender has. Tells a new owner what
  /// earlier owners have granted.
  common::milliseconds reserved_for{0};
  /// Requests of the sender in the second before it knew of the limit.
  uint32_t sent_before = 0;
  bool operator==(const slot_request&) const = default;
};

enum class slot_verdict {
  kGranted,
  kDenied,    ///< the next free slot is later than the request allows
  kNotOwner,  ///< the receiver does not own the target's slots
};

struct slot_reply {
  uint64_t id = 0;
  slot_verdict verdict = slot_verdict::kDenied;
  common::milliseconds delay{0};  ///< until the slot, or the next free one
  bool operator==(const slot_reply&) const = default;
};

}  // namespace wisteriadale::core
