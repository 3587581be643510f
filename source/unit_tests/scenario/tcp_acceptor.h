#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "unit_tests/scenario/tcp_socket.h"

namespace wisteriadale::scenario {

/// Listens on a loopback port, for peers that a script plays byte by byte.
class tcp_acceptor {
 public:
  /// @return the listening socket, or nothing with LastError set
  static std::optional<std::unique_ptr<tcp_acceptor>> Listen(uint16_t port);
  ~tcp_acceptor();
  tcp_acceptor(const tcp_acceptor&) = delete;
  tcp_acceptor& operator=(const tcp_acceptor&) = delete;

  /// @return the next connection, or nothing while there is none
  std::unique_ptr<tcp_socket> Accept() const;

 private:
  explicit tcp_acceptor(int fd) : fd_(fd) {}

  int fd_;
};

}  // namespace wisteriadale::scenario
