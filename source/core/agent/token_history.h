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
  kNew,        ///< never seen, and known to have never been seen
  kQueued,     ///< accepted, not begun
  kBegun,      ///< the target may have started the work
  kNeverRuns,  ///< revoked, or ended without being begun
  kExpired,    ///< too old to tell
};

/// How long and how much an agent remembers.
struct token_history_options {
  common::duration window = std::chrono::seconds(30);
  uint64_t retained_windows = 120;
  size_t max_tokens = 100000;
};

/// The operation tokens that an agent has seen, in bounded memory. Time is cut
/// into numbered windows of the agent's own clock. A router takes the current
/// window's number when it makes a token, so that the agent can tell the age of
/// a token it does not remember: one that is too old never runs, and nothing is
/// claimed about it. Windows of another incarnation count as too old.
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
        oldest_kept_(first_window) {}

  /// @return the number of the window now
  uint64_t CurrentWindow() const;
  /// @return whether a token made in that window may still be dispatched
  bool IsDispatchable(uint64_t window) const;
  /// @param window the one in which the token was made
  token_state StateOf(std::string_view token, uint64_t window);
  /// Sets the state of a token.
  /// @return false when there is no room; nothing was kept
  bool Set(std::string_view token, token_state state);

  size_t size() const { return tokens_.size(); }

 private:
  struct entry {
    token_state state = token_state::kNew;
    uint64_t seen_window = 0;
  };

  void DropOld();
  void DropWindow();

  token_history_options options_;
  common::clock& clock_;
  common::time_point started_;
  uint64_t first_window_;
  uint64_t oldest_kept_;
  std::unordered_map<std::string, entry> tokens_;
  std::multimap<uint64_t, std::string> by_window_;
};

}  // namespace wisteriadale::core
