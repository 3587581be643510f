#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>

#include "common/byte_account.h"
#include "net/channel.h"
#include "net/event_loop.h"
#include "net/http1_server.h"
#include "net/http_message.h"
#include "net/stream_channel.h"

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
  /// @return number of bytes written but not yet passed to the kernel
  virtual size_t PendingBytes() const = 0;
  /// @param action called once if the caller disconnects before the response is
  /// finished, or if it is aborted because the caller does not read it
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
    /// From the start of a request to the end of its body.
    common::duration receive_timeout = std::chrono::seconds(10);
    /// How long a caller may read none of the pending bytes.
    common::duration send_stall_limit = std::chrono::seconds(10);
    /// Most pending bytes of a streamed response; more than that abort it.
    size_t max_pending_bytes = 4 << 20;
    /// Connections, without channels; see http1_server::SetMaxConnections.
    size_t max_connections = std::numeric_limits<size_t>::max();
    /// Accepted channels; a handshake beyond them is a request like others.
    size_t max_channels = std::numeric_limits<size_t>::max();
    /// Copies of a body that the process holds while its request is in
    /// progress.
    size_t body_copies = 2;
    /// Counts what is held for callers; may be null. Has to outlive the server.
    common::byte_account* account = nullptr;
    /// @return whether a request is refused whatever its body is; may be empty
    std::function<bool(const http_request&)> refused_by_head;
    tls_options tls;
  };

  /// @param on_request handles each request, on the loop's thread; those whose
  /// body is not whole must not run
  /// @param on_channel receives each accepted channel; empty refuses them
  /// @return the server, or nothing with LastError set
  static std::optional<std::unique_ptr<http_server>> Create(
      event_loop& loop, const options& chosen, http_handler on_request,
      channel_acceptor on_channel = {});
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  uint16_t port() const { return server_->port(); }
  /// See http1_server::DisableKeepAlive. Requests that were read before their
  /// connection closes are passed to the handler like others.
  void DisableKeepAlive() { server_->DisableKeepAlive(); }
  /// @return what callers have not acknowledged
  undelivered_responses Undelivered() const { return server_->Undelivered(); }

 private:
  http_server(event_loop& loop, options chosen, http_handler on_request,
              channel_acceptor on_channel)
      : loop_(loop),
        limits_(std::move(chosen)),
        on_request_(std::move(on_request)),
        on_channel_(std::move(on_channel)),
        channels_(std::make_shared<channel_group>()) {
    channels_->max_open = limits_.max_channels;
    channels_->account = limits_.account;
  }

  void OnRequest(const std::shared_ptr<http1_exchange>& started) const;
  bool IsRefusedByHead(const message_head& head) const;
  bool Upgrade(const message_head& head, std::unique_ptr<tcp_stream>* stream,
               std::string_view rest) const;

  event_loop& loop_;
  common::system_clock clock_;
  options limits_;
  http_handler on_request_;
  channel_acceptor on_channel_;
  std::shared_ptr<channel_group> channels_;
  std::unique_ptr<http1_server> server_;
};

}  // namespace wisteriadale::net
