#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "common/clock.h"

namespace wisteriadale::core {

/// A change of a target's prompt prefix cache, published by its engine.
struct cache_event {
  uint64_t target = 0;    ///< hash of the target's id
  uint64_t prefix = 0;    ///< hash of the prefix key
  uint64_t sequence = 0;  ///< of the target; a step over 1 is a gap
  bool held = true;       ///< true if cached, false if evicted
};

/// Tracks which targets are likely to have a prompt prefix in their cache.
/// Events may be late or lost, so entries are only hints: they expire, and a
/// gap in a target's sequence invalidates its older hints, because one of the
/// lost events may have been an eviction.
class prefix_hints {
 public:
  /// @param max_age  time after which a hint expires
  /// @param capacity approximate maximum number of prefixes
  prefix_hints(common::clock& clock, common::duration max_age, size_t capacity)
      : clock_(clock), max_age_(max_age), capacity_(capacity) {}

  void OnEvent(const cache_event& event);
  /// Records that this router sent an attempt with the prefix to the target,
  /// which caches the prefix.
  void OnDispatch(uint64_t prefix, uint64_t target);
  /// @return whether the target is likely to have the prefix in its cache
  bool LikelyHolds(uint64_t prefix, uint64_t target) const;
  size_t size() const { return recent_.size() + older_.size(); }

 private:
  static constexpr size_t kHolders = 3;  ///< targets remembered for a prefix

  struct holder {
    uint64_t target = 0;
    common::time_point seen;
  };
  using holders = std::array<holder, kHolders>;
  using generation = std::unordered_map<uint64_t, holders>;  ///< by prefix

  /// Position in the event stream of a target.
  struct event_state {
    uint64_t sequence = 0;             ///< of the last event
    common::time_point trusted_since;  ///< time of the last gap
  };

  holders& Entry(uint64_t prefix);
  bool IsFresh(const holder& entry) const;

  common::clock& clock_;
  common::duration max_age_;
  size_t capacity_;
  generation recent_;  ///< used since the generations were last rotated
  generation older_;
  std::unordered_map<uint64_t, event_state> events_;  ///< by target
};

}  // namespace wisteriadale::core
