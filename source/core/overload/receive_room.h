#pragma once

#include <cstddef>
#include <cstdint>

#include "common/receive_buffer_policy.h"

namespace wisteriadale::core {

struct receive_room_options {
  /// Bytes that all sockets of a process may hold unread together.
  uint64_t room = uint64_t{32} << 20;
  /// Fewer bytes than this would make each connection slow.
  size_t min_bytes = 4096;
  /// More than this does not make a connection faster within a data centre.
  size_t max_bytes = size_t{256} * 1024;
  /// Connections that may wait to be accepted, on all listeners.
  size_t backlog = 512;
};

/// @param memory_mb of the VM, in MB
/// @return the options that leave the process enough for itself
receive_room_options MakeReceiveRoomOptions(double memory_mb);

/// @return the number of sockets for which there is room
size_t MaxSockets(const receive_room_options& options);

/// Divides the memory for unread bytes among the connections of a process. A
/// platform counts these bytes as memory of the process, and peers can send
/// them faster than the process reads.
///
/// Each new connection gets a fixed part of what is left, so that the more are
/// open, the less the next one gets. A connection keeps what it got: the kernel
/// drops bytes that were sent into a window that has become smaller since, and
/// the connection then waits for their retransmission.
class receive_room final : public common::receive_buffer_policy {
 public:
  explicit receive_room(const receive_room_options& options)
      : options_(options) {}

  size_t Reserve() override;
  void Release(size_t bytes) override { reserved_ -= bytes; }
  size_t BytesBeforeAccept() const override;
  uint64_t reserved() const { return reserved_; }

 private:
  receive_room_options options_;
  uint64_t reserved_ = 0;  ///< in bytes, by all connections
};

}  // namespace wisteriadale::core
