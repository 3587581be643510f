#include <arpa/inet.h>
#include <fcntl.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "net/listen_retry.h"
#include "net/pollable.h"
#include "net/socket_options.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {
namespace {

constexpr int kBacklog = 512;
// Descriptors of connections that are closed for new ones are freed in the
// loop's next turn.
constexpr int kAcceptsPerTurn = 16;
constexpr common::duration kAcceptPause = std::chrono::milliseconds(100);

/// @return a listening socket, or -1 with errno set and LastError set to
/// kCannotListen
int TryToListen(const endpoint& at) {
  sockaddr_in address{};
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                          IPPROTO_TCP);
  if (fd >= 0) SetSocketOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (fd >= 0 && ToSocketAddress(at, &address) &&
      bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
          0 &&
      listen(fd, kBacklog) == 0) {
    return fd;
  }
  common::SetLastError(common::result_code::kCannotListen,
                       SocketErrorText("cannot listen on", at));
  const int error = errno;
  if (fd >= 0) ::close(fd);
  errno = error;
  return -1;
}

/// Waits for a limited time until the address is free.
/// @return a listening socket, or -1 with LastError set to kCannotListen
int OpenListener(const endpoint& at) {
  listen_retry retry(at);
  for (;;) {
    const int fd = TryToListen(at);
    if (fd >= 0 || !retry.Wait(errno)) return fd;
  }
}

}  // namespace

class tcp_listener::socket final : public pollable,
                                   public std::enable_shared_from_this<socket> {
 public:
  socket(event_loop& loop, int fd, descriptor_acceptor on_accept)
      : loop_(loop), fd_(fd), on_accept_(std::move(on_accept)) {}
  ~socket() override {
    if (spare_fd_ >= 0) ::close(spare_fd_);
  }
  socket(const socket&) = delete;
  socket& operator=(const socket&) = delete;

  bool Register() {
    wsi_ = AdoptDescriptor(loop_, fd_, shared_from_this());
    if (wsi_ == nullptr) return false;
    loop_.buffers().AddListener(fd_);
    return true;
  }

  void Close() {
    // The kernel resets connections that are still in the backlog.
    if (wsi_ != nullptr) AcceptPending(kBacklog);
    on_accept_ = nullptr;
    if (wsi_ != nullptr) CloseAsync(wsi_);
  }

  bool OnReadable() override {
    AcceptPending(kAcceptsPerTurn);
    return true;
  }

  bool OnWritable() override { return true; }
  void OnClosed() override {
    wsi_ = nullptr;
    loop_.buffers().RemoveListener(fd_);
  }

 private:
  void AcceptPending(int limit) {
    for (int i = 0; i < limit && on_accept_; ++i) {
      sockaddr_in from{};
      socklen_t received = sizeof(from);
      const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &received,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (errno == EMFILE || errno == ENFILE) {
          if (RejectNext()) continue;
          return;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          common::Log(common::log_channel::kNet, common::log_level::kWarning,
                      std::string("cannot accept: ") + std::strerror(errno));
        }
        return;
      }
      OnAccepted(fd, from);
    }
  }

  /// Accepts and closes the next connection when no descriptor is left for it:
  /// a connection that stays in the backlog would wake the loop endlessly.
  /// @return whether there was one
  bool RejectNext() {
    if (spare_fd_ < 0) {
      PauseAccepting();
      return false;
    }
    ::close(spare_fd_);
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      ::close(fd);
      common::Metrics().Count("wisteria_connections_rejected_total");
    }
    spare_fd_ = OpenSpare();
    return fd >= 0;
  }

  /// Without a descriptor, connections of the backlog can't even be rejected.
  void PauseAccepting() {
    if (wsi_ == nullptr) return;
    lws_rx_flow_control(wsi_, 0);
    const std::weak_ptr<socket> self = weak_from_this();
    loop_.Schedule(kAcceptPause, [self] {
      const std::shared_ptr<socket> kept = self.lock();
      if (!kept || kept->wsi_ == nullptr) return;
      if (kept->spare_fd_ < 0) kept->spare_fd_ = OpenSpare();
      lws_rx_flow_control(kept->wsi_, 1);
    });
  }

  static int OpenSpare() { return open("/dev/null", O_RDONLY | O_CLOEXEC); }

  void OnAccepted(int fd, const sockaddr_in& from) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    on_accept_(fd, text.data());
  }

  event_loop& loop_;
  int fd_;
  int spare_fd_ = OpenSpare();  ///< closed to free a descriptor in RejectNext
  lws* wsi_ = nullptr;
  descriptor_acceptor on_accept_;
};

tcp_listener::~tcp_listener() {
  if (socket_) socket_->Close();
}

std::unique_ptr<tcp_listener> tcp_listener::Create(event_loop& loop,
                                                   const endpoint& at,
                                                   acceptor on_accept) {
  return CreateForDescriptors(
      loop, at,
      [&loop, accept = std::move(on_accept)](int fd, std::string peer) {
        std::unique_ptr<tcp_stream> accepted =
            tcp_stream::Adopt(loop, fd, std::move(peer));
        if (accepted) accept(std::move(accepted));
      });
}

std::unique_ptr<tcp_listener> tcp_listener::CreateForDescriptors(
    event_loop& loop, const endpoint& at, descriptor_acceptor on_accept) {
  const int fd = OpenListener(at);
  if (fd < 0) return nullptr;
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  std::unique_ptr<tcp_listener> listener(new tcp_listener());
  listener->port_ = ntohs(bound.sin_port);
  listener->socket_ = std::make_shared<socket>(loop, fd, std::move(on_accept));
  if (!listener->socket_->Register()) {
    common::SetLastError(common::result_code::kCannotListen,
                         "cannot register the socket with the event loop");
    ::close(fd);
    return nullptr;
  }
  return listener;
}

}  // namespace wisteriadale::net
