#pragma once

#include <cstdint>
#include <string_view>

namespace wisteriadale::common {

/// Whether a broken invariant is only counted and logged, or also fatal.
enum class invariant_mode { kCount, kFatal };

/// Sets the mode of this process; kCount until called.
void SetInvariantMode(invariant_mode mode);

/// Checks an invariant in every build. A broken one is counted and logged, and
/// aborts the process in invariant_mode::kFatal.
/// @param holds  the condition
/// @param name   short stable name, used as a metric label
/// @param detail observed state, for the log
void CheckInvariant(bool holds, std::string_view name, std::string_view detail);

/// @return broken invariants since the process started
uint64_t BrokenInvariants();

}  // namespace wisteriadale::common
