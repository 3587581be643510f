#include "net/tls_session.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <cerrno>
#include <string>

#include "common/last_error.h"

namespace wisteriadale::net {
namespace {

/// @return whether the files could be used
bool Configure(SSL_CTX* context, const tls_options& files) {
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  // Idle sessions hold no buffers. What is written again may lie elsewhere.
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS |
                                SSL_MODE_ENABLE_PARTIAL_WRITE |
                                SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  if (SSL_CTX_use_certificate_chain_file(context,
                                         files.certificate_file.c_str()) != 1 ||
      SSL_CTX_use_PrivateKey_file(context, files.key_file.c_str(),
                                  SSL_FILETYPE_PEM) != 1) {
    return false;
  }
  if (files.ca_file.empty()) return true;
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                     nullptr);
  return SSL_CTX_load_verify_locations(context, files.ca_file.c_str(),
                                       nullptr) == 1;
}

}  // namespace

tls_session::~tls_session() { SSL_free(session_); }

ssize_t tls_session::Failed(int result) {
  const int error = SSL_get_error(session_, result);
  if (error == SSL_ERROR_ZERO_RETURN) return 0;
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) {
    errno = EAGAIN;
    return -1;
  }
  broken_ = true;
  errno = ECONNRESET;
  return -1;
}

ssize_t tls_session::Read(char* buffer, size_t bytes) {
  ERR_clear_error();
  size_t count = 0;
  const int result = SSL_read_ex(session_, buffer, bytes, &count);
  return result == 1 ? static_cast<ssize_t>(count) : Failed(result);
}

ssize_t tls_session::Write(std::string_view data) {
  ERR_clear_error();
  size_t count = 0;
  const int result = SSL_write_ex(session_, data.data(), data.size(), &count);
  if (result == 1) return static_cast<ssize_t>(count);
  const ssize_t failed = Failed(result);
  if (failed == 0) errno = EPIPE;
  return -1;
}

// Not SSL_has_pending: a part of a record is readable when the socket is.
bool tls_session::HasBuffered() const { return SSL_pending(session_) > 0; }

void tls_session::Finish() {
  if (broken_ || SSL_is_init_finished(session_) == 0) return;
  ERR_clear_error();
  SSL_shutdown(session_);
}

tls_server_context::~tls_server_context() { SSL_CTX_free(context_); }

std::optional<std::unique_ptr<tls_server_context>> tls_server_context::Create(
    const tls_options& files) {
  std::unique_ptr<tls_server_context> created(
      new tls_server_context(SSL_CTX_new(TLS_server_method())));
  ERR_clear_error();
  if (created->context_ != nullptr && Configure(created->context_, files)) {
    return created;
  }
  const char* reason = ERR_reason_error_string(ERR_peek_last_error());
  common::SetLastError(common::result_code::kBadSettings,
                       "cannot use the certificate " + files.certificate_file +
                           ": " + (reason == nullptr ? "no memory" : reason));
  return std::nullopt;
}

std::unique_ptr<tls_session> tls_server_context::Accept(int fd) const {
  SSL* session = SSL_new(context_);
  if (session == nullptr) return nullptr;
  SSL_set_fd(session, fd);
  SSL_set_accept_state(session);
  return std::make_unique<tls_session>(session);
}

}  // namespace wisteriadale::net
