#include "unit_tests/scenario/tcp_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "common/last_error.h"

namespace wisteriadale::scenario {
namespace {

constexpr size_t kReadBufferBytes = size_t{16} * 1024;

void SetOption(int fd, int level, int name, int value) {
  if (value > 0) setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

std::optional<std::unique_ptr<tcp_socket>> tcp_socket::Connect(
    uint16_t port, const tcp_socket_options& options) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetOption(fd, SOL_SOCKET, SO_RCVBUF, options.receive_buffer_bytes);
  SetOption(fd, IPPROTO_TCP, TCP_MAXSEG, options.max_segment_bytes);
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

std::unique_ptr<tcp_socket> tcp_socket::Adopt(int fd) {
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

std::optional<size_t> tcp_socket::SendSome(std::string_view data) const {
  const ssize_t sent =
      send(fd_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent >= 0) return static_cast<size_t>(sent);
  if (errno == EAGAIN || errno == EINTR) return 0;
  return std::nullopt;
}

std::string tcp_socket::Read(size_t limit, bool* closed, bool* reset) const {
  std::string data;
  std::array<char, kReadBufferBytes> buffer;
  *closed = false;
  *reset = false;
  while (data.size() < limit) {
    const ssize_t size =
        recv(fd_, buffer.data(), std::min(buffer.size(), limit - data.size()),
             MSG_DONTWAIT);
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

void tcp_socket::ResetOnClose() const {
  const linger at_once = {1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

}  // namespace wisteriadale::scenario
