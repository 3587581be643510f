#include "net/socket_bytes.h"

#include <libwebsockets.h>
#include <linux/sockios.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

namespace wisteriadale::net {
namespace {

std::optional<size_t> WriteToTls(SSL* tls, std::string_view data) {
  // What the next call writes again may lie at another address.
  SSL_set_mode(
      tls, SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  ERR_clear_error();
  size_t written = 0;
  const int result = SSL_write_ex(tls, data.data(), data.size(), &written);
  if (result == 1) return written;
  const int error = SSL_get_error(tls, result);
  if (error == SSL_ERROR_WANT_WRITE || error == SSL_ERROR_WANT_READ) return 0;
  return std::nullopt;
}

}  // namespace

size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  if (ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<size_t>(bytes);
}

std::optional<size_t> WriteToSocket(lws* wsi, std::string_view data) {
  SSL* tls = lws_get_ssl(wsi);
  if (tls != nullptr) return WriteToTls(tls, data);
  while (true) {
    const ssize_t written =
        send(lws_get_socket_fd(wsi), data.data(), data.size(), MSG_NOSIGNAL);
    if (written >= 0) return static_cast<size_t>(written);
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return 0;
    return std::nullopt;
  }
}

}  // namespace wisteriadale::net
