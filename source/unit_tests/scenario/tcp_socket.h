#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::scenario {

/// How a connection is set up; values of 0 leave the system's own.
struct tcp_socket_options {
  /// With a small receive window, a client that does not read exerts
  /// backpressure early.
  int receive_buffer_bytes = 4096;
  int max_segment_bytes = 0;
};

/// Raw TCP connection, for requests that an HTTP client library would not send.
class tcp_socket {
 public:
  /// @return the connected socket, or nothing with LastError set
  static std::optional<std::unique_ptr<tcp_socket>> Connect(
      uint16_t port, const tcp_socket_options& options = {});
  /// Takes over a connected socket.
  static std::unique_ptr<tcp_socket> Adopt(int fd);
  ~tcp_socket();
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;

  /// Sends all of the data; blocks while the peer does not read.
  /// @return false when the connection failed
  bool Send(std::string_view data) const;
  /// Sends what the connection takes without waiting.
  /// @return the bytes sent; nothing when the connection failed
  std::optional<size_t> SendSome(std::string_view data) const;
  /// @param limit  in bytes, of what is read
  /// @param closed set to whether the connection was closed or failed
  /// @param reset  set to whether it was reset or failed
  /// @return the bytes that have arrived, without waiting
  std::string Read(size_t limit, bool* closed, bool* reset) const;
  /// Closes the sending side only.
  void Shutdown() const;
  /// Makes the close of this socket reset the connection.
  void ResetOnClose() const;

 private:
  explicit tcp_socket(int fd) : fd_(fd) {}

  int fd_;
};

}  // namespace wisteriadale::scenario
