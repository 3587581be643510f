#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/event_loop.h"

namespace wisteriadale::net {

/// A bidirectional connection that carries whole binary messages in order.
class channel {
 public:
  virtual ~channel() = default;
  /// Queues a message; ignored after Close.
  virtual void Send(std::string message) = 0;
  /// Closes the connection; the closed handler is not called for it.
  virtual void Close() = 0;
  virtual void SetMessageHandler(
      std::function<void(std::string_view)> handler) = 0;
  /// @param handler called once when the connection ends by itself
  virtual void SetClosedHandler(std::function<void()> handler) = 0;
  /// @return messages queued and not yet written
  virtual size_t PendingMessages() const = 0;
  virtual std::string peer() const = 0;
};

using channel_acceptor = std::function<void(std::shared_ptr<channel>)>;

/// Dials a channel. A handshake that does not complete within the loop's dial
/// timeout is given up.
/// @param on_open called once, with the open channel, or with null when the
/// connection cannot be made
void DialChannel(event_loop& loop, const endpoint& to,
                 std::function<void(std::shared_ptr<channel>)> on_open);

}  // namespace wisteriadale::net
