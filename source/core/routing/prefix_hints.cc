#include "core/routing/prefix_hints.h"

#include <algorithm>

namespace wisteriadale::core {

void prefix_hints::OnEvent(const cache_event& event) {
  event_state& state = events_[event.target];
  if (event.sequence <= state.sequence) return;  // out of order or duplicate
  if (state.sequence != 0 && event.sequence != state.sequence + 1) {
    state.trusted_since = clock_.Now();
  }
  state.sequence = event.sequence;
  if (event.held) {
    OnDispatch(event.prefix, event.target);
    return;
  }
  for (generation* entries : {&recent_, &older_}) {
    const auto found = entries->find(event.prefix);
    if (found == entries->end()) continue;
    for (holder& entry : found->second) {
      if (entry.target == event.target) entry = {};
    }
  }
}

void prefix_hints::OnDispatch(uint64_t prefix, uint64_t target) {
  holders& entry = Entry(prefix);
  auto slot = std::find_if(
      entry.begin(), entry.end(),
      [target](const holder& known) { return known.target == target; });
  if (slot == entry.end()) {
    slot = std::min_element(
        entry.begin(), entry.end(),
        [](const holder& a, const holder& b) { return a.seen < b.seen; });
  }
  *slot = {target, clock_.Now()};
}

prefix_hints::holders& prefix_hints::Entry(uint64_t prefix) {
  const auto found = recent_.find(prefix);
  if (found != recent_.end()) return found->second;
  // Two generations approximate LRU eviction without an access list.
  if (recent_.size() >= capacity_ / 2) {
    older_ = std::move(recent_);
    recent_.clear();
  }
  holders& entry = recent_[prefix];
  const auto old = older_.find(prefix);
  if (old != older_.end()) {
    entry = old->second;
    older_.erase(old);
  }
  return entry;
}

bool prefix_hints::IsFresh(const holder& entry) const {
  if (clock_.Now() - entry.seen > max_age_) return false;
  const auto state = events_.find(entry.target);
  return state == events_.end() || entry.seen >= state->second.trusted_since;
}

bool prefix_hints::LikelyHolds(uint64_t prefix, uint64_t target) const {
  for (const generation* entries : {&recent_, &older_}) {
    const auto found = entries->find(prefix);
    if (found == entries->end()) continue;
    for (const holder& entry : found->second) {
      if (entry.target == target) return IsFresh(entry);
    }
  }
  return false;
}

}  // namespace wisteriadale::core
