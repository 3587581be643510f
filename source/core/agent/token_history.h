#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/clock.h"

namespace wisteriadale::core {

/// What an agent knows of an operation token.
enum class token_state {
  kNew,        ///< certainly never seen
  kQueued,     ///< accepted, not begun
  kBegun,      ///< the target may have started the work
  kNeverRuns,  ///< revoked, or ended without being begun
  kExpired,    ///< too old to tell
};

/// Bounds of the history.
struct token_history_options {
  common::duration window = std::chrono::seconds(30);
  uint64_t retained_windows = 120;
  size_t max_tokens = 100000;
};

/// A bounded history of the operation tokens that an agent has seen. Time is
/// divided into numbered windows of the agent's own clock. A router records the
/// current window's number when it makes a token, so that the agent can tell
/// the age of a token that is not in the history: one that is too old never
/// runs, and nothing is claimed about it. Windows of another incarnation count
/// as too old.
class token_history {
 public:
  /// @param first_window number of the first window; random, so that no two
  ///                     incarnations share a window
  token_history(const token_history_options& options, uint64_t first_window,
                common::clock& clock)
      : options_(options),
        clock_(clock),
        started_(clock.Now()),
        first_window_(first_window),
        oldest_window_(first_window) {}

  /// @return the number of the window now
  uint64_t CurrentWindow() const;
  /// @return whether a token made in that window may still be dispatched
  bool IsDispatchable(uint64_t window) const;
  /// @param window the one in which the token was made
  token_state StateOf(std::string_view token, uint64_t window);
  /// Sets the state of a token.
  /// @return false when the history is full; nothing was stored
  bool Set(std::string_view token, token_state state);

  size_t size() const { return tokens_.size(); }

 private:
  struct entry {
    token_state state = token_state::kNew;
    uint64_t seen_window = 0;
  };

  void EvictExpired();
  void EvictWindow();

  token_history_options options_;
  common::clock& clock_;
  common::time_point started_;
  uint64_t first_window_;
  uint64_t oldest_window_;
  std::unordered_map<std::string, entry> tokens_;
  std::multimap<uint64_t, std::string> by_window_;  ///< tokens by window
};

}  // namespace wisteriadale::core
