#pragma once

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "net/event_loop.h"

namespace wisteriadale::fakes {

/// Runs a loop until a condition holds or a time limit has passed.
/// @return whether the condition holds
template <typename condition>
bool RunUntil(net::event_loop& loop, common::duration limit, condition holds) {
  constexpr common::duration kStep = std::chrono::milliseconds(2);
  for (common::duration passed{}; passed < limit; passed += kStep) {
    if (holds()) return true;
    loop.Schedule(kStep, [&loop] { loop.Stop(); });
    loop.Run();
  }
  return holds();
}

/// A TCP socket on loopback, as a client or as a listener that never responds.
class raw_socket {
 public:
  raw_socket() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  ~raw_socket() { close(fd_); }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;

  /// @return the port on which connections are accepted but never read; 0 on
  /// failure
  uint16_t Listen() const {
    sockaddr_in address = Loopback(0);
    sockaddr* plain = reinterpret_cast<sockaddr*>(&address);
    constexpr int kBacklog = 16;
    if (bind(fd_, plain, sizeof(address)) != 0) return 0;
    if (listen(fd_, kBacklog) != 0) return 0;
    socklen_t size = sizeof(address);
    getsockname(fd_, plain, &size);
    return ntohs(address.sin_port);
  }

  /// Accepts the next connection of the backlog and closes it.
  void CloseNext() const {
    const int accepted = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) close(accepted);
  }

  /// Sets the receive buffer, which accepted connections inherit.
  /// @param window_bytes its size
  void SetWindow(int window_bytes) const {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
  }

  /// Takes the next connection of a listener's backlog.
  /// @return whether there was one
  bool AcceptFrom(const raw_socket& listener) {
    const int accepted = accept4(listener.fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) return false;
    close(fd_);
    fd_ = accepted;
    return true;
  }

  /// @param window_bytes size of the receive buffer
  bool Connect(uint16_t port, int window_bytes = 4096) const {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
    const sockaddr_in address = Loopback(port);
    const sockaddr* plain = reinterpret_cast<const sockaddr*>(&address);
    return connect(fd_, plain, sizeof(address)) == 0;
  }

  void Send(std::string_view data) const {
    send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
  }

  /// Sends what the connection takes without waiting.
  /// @return number of bytes sent
  size_t SendSome(std::string_view data) const {
    const ssize_t sent =
        send(fd_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }

  void Shutdown() const { shutdown(fd_, SHUT_WR); }

  /// Drops whatever arrives from now on: nothing is acknowledged any more, as
  /// by a peer that was cut off or has lost its power.
  void DropArrivals() const {
    sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program = {1, &drop};
    setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
  }

  /// Reads the bytes that have arrived.
  /// @return all bytes received since the connection opened
  const std::string& Read() {
    char piece[4096];
    while (true) {
      const ssize_t size = recv(fd_, piece, sizeof(piece), MSG_DONTWAIT);
      if (closed_ || (size < 0 && errno == EAGAIN)) return received_;
      closed_ = size <= 0;
      reset_ = size < 0;
      if (closed_) return received_;
      received_.append(piece, static_cast<size_t>(size));
    }
  }

  /// @return whether the peer closed the connection
  bool Closed() {
    Read();
    return closed_;
  }
  /// @return whether the connection was reset rather than closed in order
  bool reset() const { return reset_; }

 private:
  static sockaddr_in Loopback(uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
  }

  int fd_;
  std::string received_;
  bool closed_ = false;
  bool reset_ = false;
};

}  // namespace wisteriadale::fakes
