#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/clock.h"
#include "net/http1_parser.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {

/// One request of a caller, its body complete, and the way to answer it. Calls
/// after the caller has gone are ignored.
class http1_exchange {
 public:
  virtual ~http1_exchange() = default;
  virtual const message_head& head() const = 0;
  virtual const std::string& body() const = 0;
  /// @return when the first byte of the request arrived
  virtual common::time_point received_at() const = 0;

  /// Begins the answer. A body of unknown length is sent in chunks.
  /// @param headers without those that frame the message or the connection
  /// @param length  bytes of the body, if known
  virtual void SendHead(int status, std::string_view reason,
                        std::span<const http_header> headers,
                        std::optional<uint64_t> length) = 0;
  virtual void SendBody(std::string_view data) = 0;
  /// Ends the answer as complete.
  virtual void Finish() = 0;
  /// Breaks the connection, so that the answer cannot pass for complete.
  virtual void Abort() = 0;
  /// @return whether an answer has begun
  virtual bool head_sent() const = 0;
  /// @return bytes of the answer that the caller has not taken yet
  virtual size_t PendingBytes() const = 0;
  /// @return whether the caller has gone, even if the disconnect handler was
  /// not called yet
  virtual bool CallerDisconnected() const = 0;
  /// @param action called once if the caller goes before the answer's end
  virtual void SetDisconnectHandler(std::function<void()> action) = 0;

  /// Sends a whole answer.
  void Send(int status, std::string_view reason,
            std::span<const http_header> headers, std::string_view body) {
    SendHead(status, reason, headers, body.size());
    SendBody(body);
    Finish();
  }
};

/// What a caller may send, and how long it may take.
struct http1_server_limits {
  http1_limits message;
  /// From the first byte of a request to the end of its headers, and between
  /// two parts of its body.
  common::duration header_timeout = std::chrono::seconds(10);
  /// Without a request on an open connection.
  common::duration idle_timeout = std::chrono::seconds(60);
};

/// Serves HTTP/1.1 with every header as received.
class http1_server {
 public:
  using handler = std::function<void(std::shared_ptr<http1_exchange>)>;

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
  /// From now on each answer ends its connection.
  void DisableKeepAlive() { closing_ = true; }
  /// Takes no more connections: new ones are refused.
  void StopAccepting() { listener_.reset(); }
  /// Closes the connections on which no request is in progress.
  void CloseIdle();
  /// @return requests whose answers are not complete, partly read ones too
  size_t ActiveRequests() const;
  uint16_t port() const { return port_; }

  class caller;

 private:
  http1_server(event_loop& loop, common::clock& clock,
               const http1_server_limits& limits, handler on_request)
      : loop_(loop),
        clock_(clock),
        limits_(limits),
        on_request_(std::move(on_request)) {}
  void Accept(std::unique_ptr<tcp_stream> stream);
  void Sweep();

  event_loop& loop_;
  common::clock& clock_;
  http1_server_limits limits_;
  handler on_request_;
  std::unique_ptr<tcp_listener> listener_;
  std::unordered_map<caller*, std::shared_ptr<caller>> callers_;
  common::timer_id sweep_timer_ = 0;
  uint16_t port_ = 0;
  bool closing_ = false;
};

}  // namespace wisteriadale::net
