#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "common/clock.h"

namespace wisteriadale::core {

/// A change of a target's prompt prefix cache, as the engine published it.
struct cache_event {
  uint64_t target = 0;    ///< hash of the target's id
  uint64_t prefix = 0;    ///< hash of the prefix key
  uint64_t sequence = 0;  ///< of the target's events; a step over 1 is a gap
  bool held = true;       ///< false: evicted
};

/// Which targets probably hold a prefix. Events come late and with gaps, so
/// an entry is a hint: it ages, and a gap in a target's events ends the hints
/// from before it, since an eviction may have been among the missing ones.
class prefix_hints {
 public:
  prefix_hints(common::clock& clock, common::duration longest_age,
               size_t capacity)
      : clock_(clock), longest_age_(longest_age), capacity_(capacity) {}

  void OnEvent(const cache_event& event);
  /// This router sent work with the prefix to the target.
  void OnDispatch(uint64_t prefix, uint64_t target);
  /// @return whether the target probably holds the prefix
  bool LikelyHolds(uint64_t prefix, uint64_t target) const;
  size_t size() const { return recent_.size() + older_.size(); }

 private:
  static constexpr size_t kHolders = 3;

  struct holder {
    uint64_t target = 0;
    common::time_point seen;
  };
  using holders = std::array<holder, kHolders>;
  using generation = std::unordered_map<uint64_t, holders>;

  struct event_state {
    uint64_t sequence = 0;
    common::time_point trusted_since;
  };

  holders& Entry(uint64_t prefix);
  bool Fresh(const holder& entry) const;

  common::clock& clock_;
  common::duration longest_age_;
  size_t capacity_;
  generation recent_;  ///< used since the last change of generation
  generation older_;
  std::unordered_map<uint64_t, event_state> events_;  ///< by target
};

}  // namespace wisteriadale::core
