#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/event_loop.h"

namespace wisteriadale::net {

/// A bidirectional connection that delivers whole binary messages in order.
class channel {
 public:
  virtual ~channel() = default;
  /// Queues a message; ignored after Close.
  virtual void Send(std::string message) = 0;
  /// Closes the connection. The closed handler is not called.
  virtual void Close() = 0;
  /// @param handler called with each message that arrives
  virtual void SetMessageHandler(
      std::function<void(std::string_view)> handler) = 0;
  /// @param handler called once when the connection ends without a Close here
  virtual void SetClosedHandler(std::function<void()> handler) = 0;
  /// @return number of bytes of the messages that are queued and not yet
  /// written
  virtual size_t PendingBytes() const = 0;
  virtual std::string peer() const = 0;
};

using channel_acceptor = std::function<void(std::shared_ptr<channel>)>;

/// Dials a channel. The dial fails if the handshake does not complete within
/// the loop's dial timeout.
/// @param on_open called once, with the open channel, or with null if the
/// dial failed
void DialChannel(event_loop& loop, const endpoint& to,
                 std::function<void(std::shared_ptr<channel>)> on_open);

}  // namespace wisteriadale::net
