#include "core/agent/token_history.h"

namespace wisteriadale::core {

uint64_t token_history::CurrentWindow() const {
  const common::duration age = clock_.Now() - started_;
  return first_window_ + static_cast<uint64_t>(age / options_.window);
}

bool token_history::IsDispatchable(uint64_t window) const {
  // The router's view of the window lags, so the one before counts as well.
  const uint64_t current = CurrentWindow();
  return window + 1 >= current && window <= current && window >= oldest_kept_;
}

token_state token_history::StateOf(std::string_view token, uint64_t window) {
  DropOld();
  const auto found = tokens_.find(std::string(token));
  if (found != tokens_.end()) return found->second.state;
  // A token is seen in its own window or later, so all that was seen of this
  // one would still be here.
  const bool kept = window >= oldest_kept_ && window <= CurrentWindow();
  return kept ? token_state::kNew : token_state::kExpired;
}

bool token_history::Set(std::string_view token, token_state state) {
  DropOld();
  const std::string name(token);
  const auto found = tokens_.find(name);
  if (found != tokens_.end()) {
    found->second.state = state;
    return true;
  }
  const uint64_t current = CurrentWindow();
  while (tokens_.size() >= options_.max_tokens) {
    // Tokens that could still be dispatched are never forgotten.
    if (oldest_kept_ + 1 >= current) return false;
    DropWindow();
  }
  tokens_[name] = {state, current};
  by_window_.emplace(current, name);
  return true;
}

void token_history::DropOld() {
  const uint64_t current = CurrentWindow();
  while (oldest_kept_ + options_.retained_windows <= current) DropWindow();
}

void token_history::DropWindow() {
  const auto [first, last] = by_window_.equal_range(oldest_kept_);
  for (auto at = first; at != last; ++at) tokens_.erase(at->second);
  by_window_.erase(first, last);
  ++oldest_kept_;
}

}  // namespace wisteriadale::core
