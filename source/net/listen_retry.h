#pragma once

#include <chrono>

#include "common/clock.h"
#include "net/endpoint.h"

namespace wisteriadale::net {

/// Decides whether to try again to listen on an address that is taken. At the
/// start of a process, another may have the port for a moment: as the local
/// port of an outgoing connection, or because it is about to end.
class listen_retry {
 public:
  static constexpr common::duration kLimit = std::chrono::seconds(2);

  explicit listen_retry(const endpoint& at);

  /// Waits before the next try. Blocks, as nothing is served yet.
  /// @param error of the last try, as errno
  /// @return whether to try again; false when the time is over, the error does
  /// not go away by itself, or the process has been told to stop
  bool Wait(int error);

 private:
  common::duration Elapsed() const;

  endpoint at_;
  std::chrono::steady_clock::time_point started_;
  bool logged_ = false;
};

}  // namespace wisteriadale::net
