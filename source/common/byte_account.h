#pragma once

#include <cstddef>
#include <cstdint>

#include "common/clock.h"

namespace wisteriadale::common {

/// What bytes are held for.
enum class held_for {
  kIncoming,  ///< a request that is being read
  kRequest,   ///< a request in progress
  kResponse,  ///< a response that its caller has not read
  kMessage,   ///< a message of a channel that is being read
};

inline constexpr size_t kHeldForCount = 4;

/// What one holder holds.
struct holding {
  held_for what = held_for::kIncoming;
  uint64_t bytes = 0;
  time_point since{};  ///< when it began
  /// When the caller last sent bytes of a request that is being read; else when
  /// it last took bytes of responses, or now if it lacks none.
  time_point progress_at{};
};

/// Holds bytes for a caller, and can give them up.
class byte_holder {
 public:
  virtual ~byte_holder() = default;
  /// Gives up what is held, at once. The caller is told if that is possible.
  virtual void GiveWay() = 0;
};

/// Account of the bytes that a process holds for others.
class byte_account {
 public:
  virtual ~byte_account() = default;
  /// Replaces what is known of a holder; with no bytes it is forgotten.
  virtual void Set(byte_holder& holder, const holding& held) = 0;
  /// Lets holders give way until the rest is within the budget, as far as any
  /// may.
  virtual void MakeRoom() = 0;
  /// @return whether much of the budget is used, so that it is worth looking at
  /// what each caller takes
  virtual bool Pressed() const = 0;
  /// @return whether a holder may hold more, though there is no hurry: there is
  /// room, or it is the one that gets its turn first
  virtual bool MayGrow(const byte_holder& holder) = 0;
};

}  // namespace wisteriadale::common
