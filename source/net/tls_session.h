#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "net/event_loop.h"

struct ssl_st;
struct ssl_ctx_st;

namespace wisteriadale::net {

/// TLS of one accepted connection, over its socket.
class tls_session {
 public:
  explicit tls_session(ssl_st* session) : session_(session) {}
  ~tls_session();
  tls_session(const tls_session&) = delete;
  tls_session& operator=(const tls_session&) = delete;

  /// Makes the handshake first.
  /// @return as recv: bytes read, 0 at the end, or -1 with errno set; EAGAIN if
  /// nothing can be read now
  ssize_t Read(char* buffer, size_t bytes);
  /// @return as send: bytes written, or -1 with errno set
  ssize_t Write(std::string_view data);
  /// @return whether bytes were received that only Read gives out
  bool HasBuffered() const;
  /// Tells the peer that no more bytes follow.
  void Finish();

 private:
  /// Sets errno for a call that returned no bytes.
  ssize_t Failed(int result);

  ssl_st* session_;
  bool broken_ = false;
};

/// Certificate and key of a server, and whom it accepts.
class tls_server_context {
 public:
  /// @param files at least a certificate and its key
  /// @return the context, or nothing with LastError set to kBadSettings
  static std::optional<std::unique_ptr<tls_server_context>> Create(
      const tls_options& files);
  ~tls_server_context();
  tls_server_context(const tls_server_context&) = delete;
  tls_server_context& operator=(const tls_server_context&) = delete;

  /// @param fd an accepted connection
  /// @return the session, or null without memory
  std::unique_ptr<tls_session> Accept(int fd) const;

 private:
  explicit tls_server_context(ssl_ctx_st* context) : context_(context) {}

  ssl_ctx_st* context_;
};

}  // namespace wisteriadale::net
