#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::scenario {

/// A TCP client that sends what a well-behaved HTTP client never would.
class tcp_socket {
 public:
  /// @return the connected socket, or nothing with LastReason set
  static std::optional<std::unique_ptr<tcp_socket>> Connect(uint16_t port);
  ~tcp_socket();
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;

  /// @return false when the peer closed the connection
  bool Send(std::string_view data) const;
  /// @param closed set when the peer closed the connection
  /// @return the bytes that have arrived, without waiting
  std::string Read(bool* closed) const;
  /// Ends the sending side only.
  void Shutdown() const;

 private:
  explicit tcp_socket(int fd) : fd_(fd) {}

  int fd_;
};

}  // namespace wisteriadale::scenario
