#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/event_loop.h"
#include "net/tls_session.h"

namespace wisteriadale::net {

/// How a connection ended that this side did not close.
enum class stream_end {
  kClosed,  ///< the peer closed after sending everything
  kReset,   ///< reset, failed or timed out; data may be missing
};

/// Bytes of a connection that its peer does not have, as far as is known.
struct owed_bytes {
  size_t unsent = 0;          ///< held by this process
  size_t unacknowledged = 0;  ///< held by the kernel
  size_t total() const { return unsent + unacknowledged; }
};

/// Receives the events of a connection, on the loop's thread. No event follows
/// OnEnd.
class tcp_handler {
 public:
  virtual ~tcp_handler() = default;
  /// An outgoing connection is open.
  virtual void OnConnected() {}
  virtual void OnData(std::string_view data) = 0;
  /// All pending bytes were handed to the kernel.
  virtual void OnDrained() {}
  virtual void OnEnd(stream_end how) = 0;
};

/// A TCP connection. Destroying it closes the connection after the peer has
/// acknowledged the pending bytes; Abort resets it.
class tcp_stream {
 public:
  class connection;

  /// Observes a connection, also after its stream was destroyed.
  class observer {
   public:
    explicit observer(std::weak_ptr<connection> observed)
        : connection_(std::move(observed)) {}
    /// @return the bytes that the peer has not acknowledged; none if the
    /// connection has ended
    owed_bytes Owed() const;
    /// Logs and counts what is owed, as the process ends; the end of the
    /// connection is then not reported again.
    void ReportGivenUp() const;
    /// Resets the connection at once; what is owed is discarded.
    void Abort() const;

   private:
    std::weak_ptr<connection> connection_;
  };

  /// Dials. OnConnected or OnEnd follows; the caller sets the time limit.
  /// @return the connection, or nothing with LastError set
  static std::unique_ptr<tcp_stream> Dial(event_loop& loop, const endpoint& to,
                                          tcp_handler& handler);
  /// Takes over an accepted connection.
  /// @param fd   closed in case of failure
  /// @param peer address of the other end
  /// @param tls  of a server, or null: plain TCP; has to outlive the connection
  /// @return the connection, or nothing if the loop cannot take it
  static std::unique_ptr<tcp_stream> Adopt(
      event_loop& loop, int fd, std::string peer,
      const tls_server_context* tls = nullptr);
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Sets the handler for the events of an accepted connection.
  void SetHandler(tcp_handler& handler);
  void Write(std::string_view data);
  /// @return number of bytes written but not yet handed to the kernel
  size_t PendingBytes() const;
  /// Asks the kernel.
  /// @return the bytes that the peer has not acknowledged
  owed_bytes Owed() const;
  /// @return what the peer had not acknowledged as the connection ended
  owed_bytes OwedAtEnd() const;
  observer Observe() const;
  /// @param limit on the time in which a peer that lacks bytes takes none,
  /// where the kernel tells; the connection is then reset
  void SetStallTimeout(common::duration limit);
  /// @param id of the request that bytes are sent for from now on, for logs
  void SetRequestId(std::string_view id);
  /// Stops reading; TCP flow control then stops the peer.
  void PauseReading();
  void ResumeReading();
  /// Resets the connection at once; pending bytes are discarded.
  void Abort();
  /// Closes a connection that has nothing pending, and frees its descriptor
  /// without waiting for the peer.
  void CloseNow();
  /// While set, the connection is reset rather than closed, also if this object
  /// is destroyed or the process dies: for data whose end is the end of the
  /// connection, so that the peer can't take a part of it for the whole.
  void SetResetOnClose(bool reset);
  /// Asks the kernel, as the loop may not have seen the event yet.
  /// @return whether the peer has closed or reset the connection
  bool PeerClosed() const;
  /// Asks the kernel, as the loop may not have seen the event yet.
  /// @return whether bytes have arrived that were not read
  bool HasUnreadData() const;
  /// @return the address of the other end
  const std::string& peer() const;

  /// Wraps a connection that is registered with the loop.
  explicit tcp_stream(std::shared_ptr<connection> registered);

 private:
  std::shared_ptr<connection> connection_;
};

/// Accepts TCP connections.
class tcp_listener {
 public:
  using acceptor = std::function<void(std::unique_ptr<tcp_stream>)>;
  /// Takes over a connected socket; gets the address of the other end, too.
  using descriptor_acceptor = std::function<void(int, std::string)>;

  /// @param at port 0: any free port
  /// @return the listener, or nothing with LastError set to kCannotListen
  static std::unique_ptr<tcp_listener> Create(event_loop& loop,
                                              const endpoint& at,
                                              acceptor on_accept);
  /// As Create, for connections that are not read as a tcp_stream.
  static std::unique_ptr<tcp_listener> CreateForDescriptors(
      event_loop& loop, const endpoint& at, descriptor_acceptor on_accept);
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
