#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// A slot that was reserved, or the delay until the next free one.
struct slot_reservation {
  bool granted = false;
  common::duration delay{0};
};

/// Spaces the slots of each target evenly, by the rate that it takes, and hands
/// them out in the order in which they are requested. Nothing accumulates:
/// after a pause a single slot is free at once.
class slot_schedule {
 public:
  explicit slot_schedule(common::clock& clock) : clock_(clock) {}

  /// Reserves the next slot of a target. The first one of a target that this
  /// schedule does not know is a whole interval away, as another schedule may
  /// have granted one just before.
  /// @param per_second rate of the slots, above 0
  /// @param max_delay  a later slot is not reserved
  slot_reservation Reserve(std::string_view target, double per_second,
                           common::duration max_delay);
  /// Takes into account that a slot until then was granted elsewhere.
  void NoteReserved(std::string_view target, common::time_point until);
  void Forget(std::string_view target);

 private:
  struct entry {
    common::time_point last_slot{};
    common::time_point last_request{};
  };
  entry& EntryOf(std::string_view target);

  common::clock& clock_;
  std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace wisteriadale::core
