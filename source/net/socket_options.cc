#include "net/socket_options.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <optional>

#include "common/metrics.h"

namespace wisteriadale::net {
namespace {

constexpr int kUserTimeoutMs = static_cast<int>(
    std::chrono::duration_cast<common::milliseconds>(kSilenceTimeout).count());
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbePeriodSeconds = 1;
constexpr int kProbes = 2;
// Without a user timeout, the kernel ends an idle connection one period after
// the last of these probes; with one, after the first that is late.
constexpr int kProbesWithoutUserTimeout = 1;
// TCP_RTO_MAX_MS of Linux 6.15, which the headers may lack. Bounds the period
// of retransmissions and of window probes.
constexpr int kRetransmissionLimitOption = 44;
constexpr int kRetransmissionLimitMs = 1000;

/// @return what the kernel tells of a connection, unless it tells nothing
std::optional<tcp_info> InfoOf(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < sizeof(info)) {
    return std::nullopt;
  }
  return info;
}

/// @return whether the figures are those of a connection: an implementation
/// that knows the option may still leave them at zero
bool IsPlausible(const tcp_info& info) {
  return info.tcpi_state == TCP_ESTABLISHED && info.tcpi_rto > 0 &&
         info.tcpi_snd_mss > 0;
}

}  // namespace

bool ToSocketAddress(const endpoint& from, sockaddr_in* to) {
  std::memset(to, 0, sizeof(*to));
  to->sin_family = AF_INET;
  to->sin_port = htons(from.port);
  return inet_pton(AF_INET, from.address.c_str(), &to->sin_addr) == 1;
}

std::string SocketErrorText(const std::string& what, const endpoint& where) {
  return what + " " + FormatEndpoint(where) + ": " + std::strerror(errno);
}

void SetSocketOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

void SetResetOption(int fd, bool reset) {
  const linger option{reset ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void TuneSocket(int fd) {
  SetSocketOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetSocketOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbePeriodSeconds);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

bool WatchAcknowledgements(int fd) {
  const std::optional<tcp_info> info = InfoOf(fd);
  if (!info || !IsPlausible(*info)) {
    common::Metrics().Count("wisteria_connections_unwatched_total");
    return false;
  }
  // Kernels before 6.15 lack this one and probe ever less often.
  SetSocketOption(fd, IPPROTO_TCP, kRetransmissionLimitOption,
                  kRetransmissionLimitMs);
  SetSocketOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbesWithoutUserTimeout);
  SetSocketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
  return true;
}

peer_sample SampleOf(int fd, common::time_point now, uint64_t delivered) {
  peer_sample sample;
  sample.now = now;
  sample.delivered = delivered;
  const std::optional<tcp_info> info = InfoOf(fd);
  if (!info) return sample;
  sample.since_acknowledgement = common::milliseconds(info->tcpi_last_ack_recv);
  sample.unacknowledged_segments = info->tcpi_unacked;
  sample.unanswered_probes = info->tcpi_probes;
  return sample;
}

}  // namespace wisteriadale::net
