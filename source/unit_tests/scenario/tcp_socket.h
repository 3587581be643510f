#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::scenario {

/// Raw TCP client, for requests that an HTTP client library would not send.
class tcp_socket {
 public:
  /// @return the connected socket, or nothing with LastError set
  static std::optional<std::unique_ptr<tcp_socket>> Connect(uint16_t port);
  ~tcp_socket();
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;

  /// Sends all of the data; blocks while the peer does not read.
  /// @return false when the connection failed
  bool Send(std::string_view data) const;
  /// @param max_bytes to read at most, about
  /// @param closed set to whether the connection was closed or failed
  /// @param reset  set to whether it was reset or failed
  /// @return the bytes that have arrived, without waiting
  std::string Read(size_t max_bytes, bool* closed, bool* reset) const;
  /// Closes the sending side only.
  void Shutdown() const;

 private:
  explicit tcp_socket(int fd) : fd_(fd) {}

  int fd_;
};

}  // namespace wisteriadale::scenario
