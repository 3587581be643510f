#include "core/agent/token_history.h"

namespace wisteriadale::core {

uint64_t token_history::CurrentWindow() const {
  const common::duration age = clock_.Now() - started_;
  return first_window_ + static_cast<uint64_t>(age / options_.window);
}

bool token_history::IsDispatchable(uint64_t window) const {
  // A router's view of the window lags, so the previous window is accepted too.
  const uint64_t current = CurrentWindow();
  return window + 1 >= current && window <= current && window >= oldest_window_;
}

token_state token_history::StateOf(std::string_view token, uint64_t window) {
  EvictExpired();
  const auto found = tokens_.find(std::string(token));
  if (found != tokens_.end()) return found->second.state;
  // A token arrives in its own window or later, so if this one had been seen it
  // would still be in the history.
  const bool retained = window >= oldest_window_ && window <= CurrentWindow();
  return retained ? token_state::kNew : token_state::kExpired;
}

bool token_history::Set(std::string_view token, token_state state) {
  EvictExpired();
  const std::string name(token);
  const auto found = tokens_.find(name);
  if (found != tokens_.end()) {
    found->second.state = state;
    return true;
  }
  const uint64_t current = CurrentWindow();
  while (tokens_.size() >= options_.max_tokens) {
    // Tokens that could still be dispatched are never evicted.
    if (oldest_window_ + 1 >= current) return false;
    EvictWindow();
  }
  tokens_[name] = {state, current};
  by_window_.emplace(current, name);
  return true;
}

void token_history::EvictExpired() {
  const uint64_t current = CurrentWindow();
  while (oldest_window_ + options_.retained_windows <= current) EvictWindow();
}

void token_history::EvictWindow() {
  const auto [first, last] = by_window_.equal_range(oldest_window_);
  for (auto at = first; at != last; ++at) tokens_.erase(at->second);
  by_window_.erase(first, last);
  ++oldest_window_;
}

}  // namespace wisteriadale::core
