#pragma once

namespace wisteriadale::ctl {

/// Exit codes of wisteriactl.
enum class exit_code : int {
  kOk = 0,
  kFailed = 1,    ///< the router answered with any other error
  kUsage = 2,     ///< invalid command line
  kRefused = 3,   ///< invalid document or argument; nothing changed
  kConflict = 4,  ///< a concurrent change was accepted first
  kUnknown = 5,   ///< the change may or may not have taken effect
  kNoRouter = 6,  ///< no router answered
};

}  // namespace wisteriadale::ctl
