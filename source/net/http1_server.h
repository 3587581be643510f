#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/byte_account.h"
#include "common/clock.h"
#include "net/held_responses.h"
#include "net/http1_parser.h"
#include "net/peer_progress.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {

/// Framing of the body of a response.
struct response_framing {
  body_framing how = body_framing::kNone;
  uint64_t length = 0;  ///< in bytes, with body_framing::kLength
};

/// Why a request must not run.
enum class body_fault {
  kNone,           ///< it may
  kRefusedByHead,  ///< the head check of the server refuses the request
  kTooLarge,       ///< it is over the limit, or announced to be
  kTimedOut,       ///< it did not arrive in time
  kNoRoom,         ///< the process holds too much for others
  /// It was read whole, behind a response on a connection that closes now as
  /// the server stops.
  kStopping,
};

/// A request, and its response. Calls are ignored after the caller has
/// disconnected.
class http1_exchange {
 public:
  virtual ~http1_exchange() = default;
  virtual const message_head& head() const = 0;
  virtual const std::string& body() const = 0;
  /// @return the body, which is empty from then on
  virtual std::string TakeBody() = 0;
  /// @return why the request must not run; if its body is not complete, its
  /// response ends the connection
  virtual body_fault fault() const = 0;
  /// @return when the first byte of the request arrived
  virtual common::time_point received_at() const = 0;
  /// @return address of the caller
  virtual std::string_view peer() const = 0;

  /// Starts the response.
  /// @param headers without those for message framing or connection management
  /// @param framing chunks become kUntilClose for callers of HTTP/1.0
  virtual void SendHead(int status, std::string_view reason,
                        std::span<const http_header> headers,
                        const response_framing& framing) = 0;
  /// The head leaves with the first bytes of the body.
  virtual void SendBody(std::string_view data) = 0;
  /// Takes back a head that has not left yet, so that another response can be
  /// sent.
  /// @return whether it did
  virtual bool RetractHead() = 0;
  /// Completes the response.
  virtual void Finish() = 0;
  /// Breaks the connection, so that the response cannot be taken for complete.
  virtual void Abort() = 0;
  /// Resets the connection from the loop; what the caller has not taken yet is
  /// discarded. The disconnect handler is called.
  virtual void Reset() = 0;
  /// Closes the connection after the response. To be called before it starts.
  virtual void DisableKeepAlive() = 0;
  /// @return whether a response was started
  virtual bool head_sent() const = 0;
  /// @return number of response bytes not yet handed to the kernel
  virtual size_t PendingBytes() const = 0;
  /// @return whether the caller has disconnected, even if the disconnect
  /// handler was not called yet
  virtual bool CallerDisconnected() const = 0;
  /// @param action called once if the caller disconnects before the response is
  /// complete
  virtual void SetDisconnectHandler(std::function<void()> action) = 0;

  /// Counts bytes of the response that are held back from the caller until it
  /// is complete.
  virtual void SetBuffered(size_t bytes) = 0;
  /// @return whether more bytes of the response may be held, though there is no
  /// hurry
  virtual bool MayBuffer() const = 0;

  /// @param id of the request in logs
  virtual void SetRequestId(std::string_view id) = 0;

  /// Sends a complete response.
  void Send(int status, std::string_view reason,
            std::span<const http_header> headers, std::string_view body) {
    SendHead(status, reason, headers, {body_framing::kLength, body.size()});
    SendBody(body);
    Finish();
  }
};

/// Size limits of requests, and timeouts.
struct http1_server_limits {
  http1_limits message;
  /// From the first byte of a request to the end of its headers, and between
  /// two reads of its body.
  common::duration header_timeout = std::chrono::seconds(10);
  /// From the first byte of a request to the end of its body; 0: as long as it
  /// arrives steadily.
  common::duration body_timeout{};
  /// How long an open connection may be without a request.
  common::duration idle_timeout = std::chrono::seconds(60);
  /// How long a caller may take nothing of a response.
  common::duration stall_timeout = kStallTimeout;
};

/// What a server has not delivered to its callers.
struct undelivered_responses {
  size_t connections = 0;
  size_t bytes = 0;
};

/// HTTP/1.1 server that passes on all headers as received.
class http1_server {
 public:
  using handler = std::function<void(std::shared_ptr<http1_exchange>)>;
  /// @return whether a request with that head is refused whatever its body is
  using head_check = std::function<bool(const message_head&)>;
  /// Takes over the connection of a request that asks for another protocol,
  /// with the bytes behind the request.
  /// @return whether it did
  using upgrade_handler = std::function<bool(
      const message_head&, std::unique_ptr<tcp_stream>*, std::string_view)>;

  /// @return the server, or nothing with LastError set
  static std::unique_ptr<http1_server> Create(event_loop& loop,
                                              common::clock& clock,
                                              const endpoint& at,
                                              const http1_server_limits& limits,
                                              handler on_request);
  ~http1_server();
  http1_server(const http1_server&) = delete;
  http1_server& operator=(const http1_server&) = delete;

  void SetLimits(const http1_server_limits& limits) { limits_ = limits; }
  /// At the limit, a new connection takes the place of the one that has been
  /// idle for longest, or is closed if none has been idle for long.
  void SetMaxConnections(size_t max) { max_connections_ = max; }
  /// Counts what is held for callers from now on.
  /// @param account has to outlive the server
  void SetAccount(common::byte_account& account) {
    account_ = &account;
    closing_responses_.SetAccount(&account);
  }
  /// Passes requests that the check refuses to the handler before their bodies
  /// arrive.
  void SetHeadCheck(head_check check) { head_check_ = std::move(check); }
  /// Passes requests whose bodies are not complete to the handler as well,
  /// which then responds. Otherwise the server itself does.
  void SetFaultsHandled(bool handled) { faults_handled_ = handled; }
  void SetUpgradeHandler(upgrade_handler handler) {
    on_upgrade_ = std::move(handler);
  }
  /// @param copies of a body that the process holds while it is in progress
  void SetBodyCopies(size_t copies) { body_copies_ = copies; }
  /// From now on accepts TLS connections only.
  void SetTls(std::unique_ptr<tls_server_context> tls) {
    tls_ = std::move(tls);
  }
  /// From now on closes each connection after its current response. Complete
  /// requests that were read behind it are passed to the handler with
  /// body_fault::kStopping.
  void DisableKeepAlive() { closing_ = true; }
  /// Accepts the connections of the backlog and closes the listener: later ones
  /// are refused.
  void StopAccepting() { listener_.reset(); }
  /// Closes the connections on which no request is in progress, has arrived or
  /// is expected, as on a connection that was just accepted, and that have no
  /// unsent bytes.
  void CloseIdle();
  /// @return number of requests whose response this process has not completely
  /// handed to the kernel, including those that are only partly read
  size_t ActiveRequests() const;
  /// @return number of open connections
  size_t ConnectionCount() const { return connections_.size(); }
  /// @return what callers have not acknowledged, also on connections that this
  /// side has closed
  undelivered_responses Undelivered() const;
  /// Logs and counts what callers have not acknowledged, as the process ends.
  void ReportGivenUp() const;
  uint16_t port() const { return port_; }

  class connection;

 private:
  http1_server(event_loop& loop, common::clock& clock,
               const http1_server_limits& limits, handler on_request)
      : loop_(loop),
        clock_(clock),
        limits_(limits),
        on_request_(std::move(on_request)) {}
  void Accept(std::unique_ptr<tcp_stream> stream);
  void CheckConnections();
  /// Closes a connection that has been idle for some time: first those without
  /// any request so far, of these the one that has been idle for longest.
  /// @return whether there was one
  bool CloseLongestIdle();

  event_loop& loop_;
  common::clock& clock_;
  http1_server_limits limits_;
  handler on_request_;
  head_check head_check_;       ///< may be empty
  upgrade_handler on_upgrade_;  ///< may be empty
  bool faults_handled_ = false;
  // A body is held once more, on its way to a target.
  size_t body_copies_ = 2;
  std::unique_ptr<tls_server_context> tls_;  ///< null: plain TCP
  std::unique_ptr<tcp_listener> listener_;
  std::unordered_map<connection*, std::shared_ptr<connection>> connections_;
  common::byte_account* account_ = nullptr;  ///< may be null
  held_responses closing_responses_;
  common::timer_id check_timer_ = 0;
  uint16_t port_ = 0;
  bool closing_ = false;
  size_t max_connections_ = std::numeric_limits<size_t>::max();
};

}  // namespace wisteriadale::net
