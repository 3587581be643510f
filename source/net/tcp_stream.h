#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/event_loop.h"

namespace wisteriadale::net {

/// How a connection ended by itself.
enum class stream_end {
  kClosed,  ///< the peer closed after it had sent everything
  kReset,   ///< reset, failed or timed out; bytes may be missing
};

/// Takes the events of a connection, on the loop's thread. After OnEnd no
/// event follows.
class tcp_handler {
 public:
  virtual ~tcp_handler() = default;
  /// An outgoing connection is open.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  /// Bytes that waited were handed to the network.
  virtual void OnDrained() {}
  virtual void OnEnd(stream_end how) = 0;
};

/// A TCP connection. Destroying it closes the connection after the bytes that
/// wait have been sent; Abort resets it.
class tcp_stream {
 public:
  /// Dials. OnConnected or OnEnd follows; the caller bounds the time.
  /// @return the connection, or nothing with LastError set
  static std::unique_ptr<tcp_stream> Dial(event_loop& loop, const endpoint& to,
                                          tcp_handler& handler);
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Sets who takes the events of an accepted connection.
  void SetHandler(tcp_handler& handler);
  void Write(std::string_view data);
  /// @return bytes written and not yet taken by the network
  size_t PendingBytes() const;
  /// Stops reading, so that the peer has to wait.
  void PauseReading();
  void ResumeReading();
  /// Drops the connection at once, with a reset where the peer still sends.
  void Abort();
  /// Asks the system, as the loop may be behind.
  /// @return whether the peer has closed or reset the connection
  bool PeerEnded() const;
  /// @return the address of the other end
  const std::string& peer() const;

  class connection;
  /// Wraps a connection that the loop holds.
  explicit tcp_stream(std::shared_ptr<connection> held);

 private:
  std::shared_ptr<connection> connection_;
};

/// Listens for a moment, for those whose library does not tell that it cannot.
/// @return whether the address and port can be listened on, else with
/// LastError set to kCannotListen
bool CanListen(const endpoint& at);

/// Accepts TCP connections.
class tcp_listener {
 public:
  using acceptor = std::function<void(std::unique_ptr<tcp_stream>)>;

  /// @param at port 0 takes a free one
  /// @return the listener, or nothing with LastError set to kCannotListen
  static std::unique_ptr<tcp_listener> Create(event_loop& loop,
                                              const endpoint& at,
                                              acceptor on_accept);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  uint16_t port() const { return port_; }

  class socket;

 private:
  tcp_listener() = default;

  std::shared_ptr<socket> socket_;
  uint16_t port_ = 0;
};

}  // namespace wisteriadale::net
