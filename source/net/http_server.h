#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "net/channel.h"
#include "net/event_loop.h"
#include "net/http_message.h"

namespace wisteriadale::net {

/// The response to one request. It may be sent later and in pieces; calls are
/// ignored after the caller has disconnected.
class http_responder {
 public:
  virtual ~http_responder() = default;
  /// Sends a complete response.
  virtual void Send(int status, std::string_view content_type,
                    std::string_view body,
                    std::span<const http_header> headers) = 0;
  void Send(int status, std::string_view content_type, std::string_view body) {
    Send(status, content_type, body, {});
  }
  /// Starts a chunked response, continued by Write and completed by Finish. If
  /// the caller does not read it, it is aborted at the server's limits.
  virtual void StartStream(int status, std::string_view content_type) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void Finish() = 0;
  /// Ends a stream without the final chunk, so that it cannot be taken for
  /// complete.
  virtual void Abort() = 0;
  /// @return number of bytes written but not yet passed to libwebsockets
  virtual size_t PendingBytes() const = 0;
  /// @param action called once if the caller disconnects before the response is
  /// complete
  virtual void SetDisconnectHandler(std::function<void()> action) = 0;
};

using http_handler =
    std::function<void(http_request, std::shared_ptr<http_responder>)>;

/// Listens for HTTP/1.1 requests and for message channels.
class http_server {
 public:
  struct options {
    std::string address = "127.0.0.1";
    uint16_t port = 0;  ///< 0: any free port
    size_t max_body_bytes = 1 << 20;
    /// From the end of a request's headers to the end of its body.
    common::duration receive_timeout = std::chrono::seconds(10);
    /// How long a caller may read none of the pending bytes.
    common::duration send_stall_limit = std::chrono::seconds(10);
    /// Most pending bytes of a streamed response; more than that abort it.
    size_t max_pending_bytes = 4 << 20;
    tls_options tls;
  };

  /// @param on_request handles each request, on the loop's thread
  /// @param on_channel receives each accepted channel; empty refuses them
  /// @return the server, or nothing with LastError set
  static std::optional<std::unique_ptr<http_server>> Create(
      event_loop& loop, const options& chosen, http_handler on_request,
      channel_acceptor on_channel = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  uint16_t port() const { return port_; }
  event_loop& loop() const { return *loop_; }
  const options& limits() const { return limits_; }
  const http_handler& on_request() const { return on_request_; }
  const channel_acceptor& on_channel() const { return on_channel_; }

 private:
  http_server() = default;

  lws_vhost* vhost_ = nullptr;
  uint16_t port_ = 0;
  event_loop* loop_ = nullptr;
  options limits_;
  http_handler on_request_;
  channel_acceptor on_channel_;
  std::string vhost_name_;
};

}  // namespace wisteriadale::net
