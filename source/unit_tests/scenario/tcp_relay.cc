#include "unit_tests/scenario/tcp_relay.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <vector>

#include "common/last_error.h"

namespace wisteriadale::scenario {
namespace {

constexpr int kPollMs = 10;
constexpr int kBacklog = 64;
constexpr double kMaxBurstSeconds = 0.05;
constexpr size_t kReadBufferBytes = size_t{16} * 1024;

using poll_events = decltype(pollfd::events);

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

void ConfigureSocket(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

int ConnectTo(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const sockaddr* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, socket_address, sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

/// One direction of a connection.
struct flow {
  int from = -1;
  int to = -1;
  bool silent = false;
  bool sender_closed = false;  ///< the sender's close was forwarded
  std::string pending;
  bool paced = false;
  double credit = 0;  ///< bytes that a paced flow may read now

  bool WantsRead() const {
    return !silent && !sender_closed && pending.empty() &&
           (!paced || credit >= 1);
  }
  bool WantsWrite() const { return !silent && !pending.empty(); }

  void AddCredit(size_t bytes_per_s, double seconds) {
    const double rate = static_cast<double>(bytes_per_s);
    paced = bytes_per_s > 0;
    credit = std::min(credit + rate * seconds, rate * kMaxBurstSeconds);
  }

  /// @return false when the connection failed
  bool Read() {
    std::array<char, kReadBufferBytes> buffer;
    const size_t limit =
        paced ? std::min(buffer.size(), static_cast<size_t>(credit))
              : buffer.size();
    const ssize_t size = recv(from, buffer.data(), limit, 0);
    if (size < 0) return errno == EAGAIN || errno == EINTR;
    if (size == 0) {
      sender_closed = true;
      shutdown(to, SHUT_WR);
      return true;
    }
    credit -= static_cast<double>(size);
    pending.append(buffer.data(), static_cast<size_t>(size));
    return Write();
  }

  bool Write() {
    const ssize_t size = send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
    if (size < 0) return errno == EAGAIN || errno == EINTR;
    pending.erase(0, static_cast<size_t>(size));
    return true;
  }
};

}  // namespace

struct tcp_relay::link {
  flow to_server;
  flow to_client;
  bool broken = false;

  bool Done() const {
    if (broken) return true;
    return to_server.sender_closed && to_client.sender_closed &&
           to_server.pending.empty() && to_client.pending.empty();
  }

  void Close() const {
    close(to_server.from);
    close(to_server.to);
  }

  void Serve(flow* direction, poll_events from_events, poll_events to_events) {
    if (direction->WantsWrite() && (to_events & POLLOUT) != 0) {
      broken = broken || !direction->Write();
    } else if (direction->WantsRead() &&
               (from_events & (POLLIN | POLLHUP | POLLERR)) != 0) {
      broken = broken || !direction->Read();
    }
  }

  /// @return the events to poll for on a socket that is the source of one flow
  ///         and the destination of the other
  static poll_events Events(const flow& in, const flow& out) {
    poll_events events = 0;
    if (in.WantsRead()) events |= POLLIN;
    if (out.WantsWrite()) events |= POLLOUT;
    return events;
  }
};

tcp_relay::tcp_relay(int listener, uint16_t to_port)
    : listener_(listener), to_port_(to_port) {}

std::optional<std::unique_ptr<tcp_relay>> tcp_relay::Create(
    uint16_t listen_port, uint16_t to_port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(listen_port);
  const sockaddr* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (bind(listener, socket_address, sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    close(listener);
    common::SetLastError(common::result_code::kInternal,
                         "the relay cannot listen");
    return std::nullopt;
  }
  std::unique_ptr<tcp_relay> relay(new tcp_relay(listener, to_port));
  relay->thread_ = std::thread([raw = relay.get()] { raw->Run(); });
  return relay;
}

tcp_relay::~tcp_relay() {
  stopping_ = true;
  thread_.join();
  close(listener_);
  for (const std::unique_ptr<link>& open : links_) open->Close();
}

void tcp_relay::Silence(relay_direction direction) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::unique_ptr<link>& open : links_) {
    if (direction != relay_direction::kToClient) open->to_server.silent = true;
    if (direction != relay_direction::kToServer) open->to_client.silent = true;
  }
}

void tcp_relay::Cut() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::unique_ptr<link>& open : links_) open->broken = true;
}

void tcp_relay::Reset() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const linger at_once = {1, 0};
  for (const std::unique_ptr<link>& open : links_) {
    for (const int fd : {open->to_server.from, open->to_server.to}) {
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    open->broken = true;
  }
}

void tcp_relay::Pace(size_t bytes_per_s) {
  const std::lock_guard<std::mutex> lock(mutex_);
  bytes_per_s_ = bytes_per_s;
}

void tcp_relay::Redirect(uint16_t to_port) {
  const std::lock_guard<std::mutex> lock(mutex_);
  to_port_ = to_port;
}

void tcp_relay::Refuse(bool refuse) {
  const std::lock_guard<std::mutex> lock(mutex_);
  refusing_ = refuse;
}

void tcp_relay::Accept() {
  const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0) return;
  const int server = refusing_ ? -1 : ConnectTo(to_port_);
  if (server < 0) {
    close(client);
    return;
  }
  ConfigureSocket(client);
  ConfigureSocket(server);
  std::unique_ptr<link> opened = std::make_unique<link>();
  opened->to_server.from = client;
  opened->to_server.to = server;
  opened->to_client.from = server;
  opened->to_client.to = client;
  links_.push_back(std::move(opened));
  ++accepted_;
}

void tcp_relay::Run() {
  std::chrono::steady_clock::time_point last = std::chrono::steady_clock::now();
  while (!stopping_) {
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - last).count();
    last = now;
    std::vector<pollfd> polled = {{listener_, POLLIN, 0}};
    std::vector<link*> polled_links;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const std::unique_ptr<link>& open : links_) {
        polled_links.push_back(open.get());
        open->to_server.AddCredit(bytes_per_s_, seconds);
        open->to_client.AddCredit(bytes_per_s_, seconds);
        const poll_events client =
            link::Events(open->to_server, open->to_client);
        const poll_events server =
            link::Events(open->to_client, open->to_server);
        // poll skips negative descriptors, so hang-ups of silenced sides are
        // not reported either.
        polled.push_back({client == 0 ? -1 : open->to_server.from, client, 0});
        polled.push_back({server == 0 ? -1 : open->to_server.to, server, 0});
      }
    }
    poll(polled.data(), polled.size(), kPollMs);
    const std::lock_guard<std::mutex> lock(mutex_);
    for (size_t i = 0; i < polled_links.size(); ++i) {
      const poll_events client = polled[1 + 2 * i].revents;
      const poll_events server = polled[2 + 2 * i].revents;
      polled_links[i]->Serve(&polled_links[i]->to_server, client, server);
      polled_links[i]->Serve(&polled_links[i]->to_client, server, client);
    }
    for (auto position = links_.begin(); position != links_.end();) {
      if ((*position)->Done()) {
        (*position)->Close();
        position = links_.erase(position);
      } else {
        ++position;
      }
    }
    if ((polled[0].revents & POLLIN) != 0) Accept();
  }
}

}  // namespace wisteriadale::scenario
