#include "unit_tests/scenario/port_block.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/last_error.h"

namespace wisteriadale::scenario {
namespace {

// Below the ephemeral port range, from which the kernel assigns ports to
// outgoing connections.
constexpr uint16_t kFirstPort = 30000;
constexpr uint16_t kPortLimit = 32760;
constexpr uint16_t kBlockPorts = 120;

/// @return a socket bound to the port, or -1
int Bind(uint16_t port) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket_fd < 0) return -1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const sockaddr* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (bind(socket_fd, socket_address, sizeof(address)) == 0) return socket_fd;
  close(socket_fd);
  return -1;
}

}  // namespace

std::optional<std::unique_ptr<port_block>> port_block::Reserve() {
  const uint16_t blocks = (kPortLimit - kFirstPort) / kBlockPorts;
  const uint16_t offset = static_cast<uint16_t>(getpid() % blocks);
  for (uint16_t i = 0; i < blocks; ++i) {
    const uint16_t block = static_cast<uint16_t>((offset + i) % blocks);
    const uint16_t first =
        static_cast<uint16_t>(kFirstPort + block * kBlockPorts);
    const int reservation_fd = Bind(first);
    if (reservation_fd < 0) continue;
    std::unique_ptr<port_block> reserved(
        new port_block(reservation_fd, static_cast<uint16_t>(first + 1)));
    reserved->remaining_ = kBlockPorts - 1;
    return reserved;
  }
  common::SetLastError(common::result_code::kInternal,
                       "every block of ports is in use");
  return std::nullopt;
}

port_block::~port_block() { close(reservation_fd_); }

uint16_t port_block::Allocate() {
  while (remaining_ > 0) {
    const uint16_t port = next_++;
    --remaining_;
    const int probe = Bind(port);
    if (probe < 0) continue;
    close(probe);
    return port;
  }
  return 0;
}

}  // namespace wisteriadale::scenario
