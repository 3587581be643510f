#include "unit_tests/scenario/tcp_acceptor.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/last_error.h"

namespace wisteriadale::scenario {
namespace {

constexpr int kBacklog = 128;

}  // namespace

std::optional<std::unique_ptr<tcp_acceptor>> tcp_acceptor::Listen(
    uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const sockaddr* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fd, socket_address, sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    common::SetLastError(common::result_code::kInternal, "cannot listen");
    return std::nullopt;
  }
  return std::unique_ptr<tcp_acceptor>(new tcp_acceptor(fd));
}

tcp_acceptor::~tcp_acceptor() { close(fd_); }

std::unique_ptr<tcp_socket> tcp_acceptor::Accept() const {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  return fd < 0 ? nullptr : tcp_socket::Adopt(fd);
}

}  // namespace wisteriadale::scenario
