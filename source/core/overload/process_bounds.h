#pragma once

#include <cstddef>

#include "common/clock.h"
#include "common/process_usage.h"
#include "core/overload/connection_limits.h"
#include "core/overload/memory_account.h"
#include "core/overload/receive_room.h"

namespace wisteriadale::core {

/// Everything that bounds what callers can make a process hold: bytes of
/// requests and responses, bytes that sockets have received, connections.
class process_bounds {
 public:
  process_bounds(const common::process_resources& resources,
                 const common::clock& clock);

  memory_account& account() { return account_; }
  const memory_account& account() const { return account_; }
  receive_room& receive() { return receive_room_; }
  /// @return how many connections the process can have
  size_t usable_connections() const { return usable_connections_; }
  const connection_limits& connections() const { return connections_; }

 private:
  memory_account account_;
  receive_room receive_room_;
  size_t usable_connections_;
  connection_limits connections_;
};

}  // namespace wisteriadale::core
