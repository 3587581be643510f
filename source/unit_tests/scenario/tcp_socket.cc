#include "unit_tests/scenario/tcp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "common/last_error.h"

namespace wisteriadale::scenario {
namespace {

constexpr size_t kReadBufferBytes = size_t{16} * 1024;
// With a small receive window, a client that does not read exerts backpressure
// early.
constexpr int kReceiveBufferBytes = 4096;

}  // namespace

std::optional<std::unique_ptr<tcp_socket>> tcp_socket::Connect(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const sockaddr* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, socket_address, sizeof(address)) != 0) {
    close(fd);
    common::SetLastError(common::result_code::kInternal, "cannot connect");
    return std::nullopt;
  }
  return std::unique_ptr<tcp_socket>(new tcp_socket(fd));
}

tcp_socket::~tcp_socket() { close(fd_); }

bool tcp_socket::Send(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t sent = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0) return false;
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

std::string tcp_socket::Read(size_t max_bytes, bool* closed,
                             bool* reset) const {
  std::string data;
  std::array<char, kReadBufferBytes> buffer;
  while (data.size() < max_bytes) {
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
      data.append(buffer.data(), static_cast<size_t>(size));
      continue;
    }
    *reset = size < 0 && errno != EAGAIN && errno != EINTR;
    *closed = size == 0 || *reset;
    return data;
  }
  return data;
}

void tcp_socket::Shutdown() const { shutdown(fd_, SHUT_WR); }

}  // namespace wisteriadale::scenario
