#include "net/tcp_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <unordered_map>
#include <utility>

#include "common/event_log.h"
#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "net/peer_progress.h"
#include "net/pollable.h"
#include "net/socket_bytes.h"
#include "net/socket_options.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kReadBytes = size_t{32} * 1024;
// Bytes that one readable event reads: a peer that sends faster than its bytes
// are handled would keep the loop from everything else.
constexpr size_t kMaxReadBytes = 8 * kReadBytes;
// How long a closed connection is still read (lingering close): unread bytes
// from the peer would turn the close into a reset that destroys the response.
constexpr common::duration kLingerLimit = std::chrono::milliseconds(1000);
// A closed connection that delivers fewer than kMinDrainBytes of its pending
// bytes within this time is ended. One that takes nothing ends at the stall
// limit.
constexpr common::duration kDrainLimit = std::chrono::seconds(60);
constexpr uint64_t kMinDrainBytes = 60'000;

// Why a connection ended, in logs and metrics.
constexpr std::string_view kEndedByPeer = "closed by the peer";
constexpr std::string_view kEndedByReset = "reset";
constexpr std::string_view kEndedByTimeout = "timed out";
constexpr std::string_view kStalled = "stalled";
constexpr std::string_view kAborted = "aborted";
constexpr std::string_view kDrainExpired = "drain limit";
constexpr std::string_view kEndedByStop = "stop";

std::string_view ReasonOf(int error) {
  return error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH
             ? kEndedByTimeout
             : kEndedByReset;
}

}  // namespace

class tcp_stream::connection final
    : public pollable,
      public std::enable_shared_from_this<connection> {
 public:
  connection(event_loop& loop, int fd, bool connecting, std::string peer)
      : loop_(loop),
        fd_(fd),
        connecting_(connecting),
        dialled_(connecting),
        peer_(std::move(peer)) {}

  bool Register() {
    wsi_ = AdoptDescriptor(loop_, fd_, shared_from_this());
    if (wsi_ == nullptr) return false;
    if (connecting_) {
      lws_callback_on_writable(wsi_);
    } else {
      watched_ = WatchAcknowledgements(fd_);
    }
    return true;
  }

  void SetTls(std::unique_ptr<tls_session> tls) { tls_ = std::move(tls); }
  void SetHandler(tcp_handler* handler) { handler_ = handler; }
  const owed_bytes& owed_at_end() const { return owed_at_end_; }
  size_t PendingBytes() const { return outgoing_.size() - sent_; }
  const std::string& peer() const { return peer_; }
  owed_bytes Owed() const {
    if (wsi_ == nullptr || ended_) return {};
    if (connecting_) return {PendingBytes(), 0};
    const size_t unacknowledged = UnacknowledgedBytes(fd_);
    // The end of this side counts as a byte.
    const size_t end = shut_down_ && unacknowledged > 0 ? 1 : 0;
    return {PendingBytes(), unacknowledged - end};
  }
  bool PeerClosed() const {
    if (wsi_ == nullptr || ended_) return true;
    char next = 0;
    const ssize_t size = recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size >= 0) return size == 0;
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }

  bool HasUnreadData() const {
    if (wsi_ == nullptr || ended_) return false;
    char next = 0;
    return recv(fd_, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  void Write(std::string_view data) {
    if (wsi_ == nullptr || ended_) return;
    if (outgoing_.empty() && !connecting_) {
      const ssize_t written = WriteToSocket(data);
      if (written > 0) {
        data.remove_prefix(static_cast<size_t>(written));
        OnHandedOver(written);
      }
      // A failed write is reported as the end of the connection at the next
      // poll.
      if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
        error_ = errno;
        data = {};
      }
      if (data.empty()) return;
    }
    outgoing_.append(data);
    lws_callback_on_writable(wsi_);
  }

  void SetRequestId(std::string_view id) { request_id_ = id; }
  void SetStallTimeout(common::duration limit) {
    progress_.SetStallTimeout(limit);
  }

  void SetReading(bool reading) {
    if (wsi_ == nullptr || reading == reading_) return;
    reading_ = reading;
    lws_rx_flow_control(wsi_, reading ? 1 : 0);
    if (reading) ReadBufferedLater();
  }

  /// Called when the owner is destroyed: sends the pending bytes, then closes.
  void Release() {
    handler_ = nullptr;
    if (wsi_ == nullptr || ended_) return;
    if (connecting_) {
      CloseAsync(wsi_);
      return;
    }
    if (reset_on_close_) {
      Abort();
      return;
    }
    released_ = true;
    SetReading(true);
    if (PendingBytes() == 0) {
      ShutDown();
    } else {
      LimitDrain();
    }
  }

  void Abort() {
    handler_ = nullptr;
    if (wsi_ == nullptr || ended_) return;
    ReportUndelivered(kAborted);
    ended_ = true;
    SetResetOption(fd_, true);
    CloseAsync(wsi_);
  }

  void CloseNow() {
    handler_ = nullptr;
    if (wsi_ == nullptr || ended_) return;
    ended_ = true;
    CloseAsync(wsi_);
  }

  void SetResetOnClose(bool reset) {
    if (wsi_ == nullptr || ended_) return;
    // The kernel resets the connection until the pending bytes are sent.
    if (reset) SetResetOption(fd_, true);
    reset_on_close_ = reset;
  }

  bool OnReadable() override {
    if (!ReadUpTo(kMaxReadBytes)) return false;
    ReadBufferedLater();
    return true;
  }

  bool OnWritable() override {
    if (connecting_ && !FinishConnect()) return false;
    while (sent_ < outgoing_.size()) {
      const ssize_t written =
          WriteToSocket(std::string_view(outgoing_).substr(sent_));
      if (written < 0) {
        if (errno == EINTR) continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
          End(stream_end::kReset, ReasonOf(errno));
          return false;
        }
        break;
      }
      sent_ += static_cast<size_t>(written);
      OnHandedOver(written);
    }
    const bool drained = sent_ > 0 && PendingBytes() == 0;
    DiscardSent();
    if (drained && released_) ShutDown();
    if (drained && handler_ != nullptr) handler_->OnDrained();
    if (PendingBytes() > 0) RequestWritable();
    return true;
  }

  /// Logs and counts what the peer will not get, as the connection ends.
  void ReportUndelivered(std::string_view why) {
    const owed_bytes owed = Owed();
    if (owed.total() == 0 || std::exchange(reported_, true)) return;
    common::Metrics().Count("wisteria_connections_undelivered_total",
                            {{"why", why}});
    common::Metrics().Count("wisteria_bytes_undelivered_total", {{"why", why}},
                            owed.total());
    common::LogEvent(
        common::log_event::kBytesUndelivered, request_id_,
        {{"peer", peer_},
         {"direction", dialled_ ? "to a server" : "to a caller"},
         {"why", why},
         {"bytes_unsent", static_cast<int64_t>(owed.unsent)},
         {"bytes_unacknowledged", static_cast<int64_t>(owed.unacknowledged)},
         {"last_progress_ms",
          common::ToMillis(clock_.Now() - last_progress_)}});
  }

  void OnClosed() override {
    if (!ended_) {
      ReportUndelivered(close_reason_.empty() ? ReasonOfClose()
                                              : close_reason_);
    }
    wsi_ = nullptr;
    loop_.buffers().Remove(fd_);
    // What arrived before a reset is reported.
    if (!ended_ && error_ != 0) {
      ReadUpTo(std::numeric_limits<size_t>::max());
    }
    End(stream_end::kReset, kEndedByStop);
  }

 private:
  /// Reads what has arrived, up to about that many bytes.
  /// @return false if the connection has ended
  bool ReadUpTo(size_t max_bytes) {
    static std::array<char, kReadBytes> buffer;
    size_t total = 0;
    while (reading_ && !ended_ && total < max_bytes) {
      const ssize_t received = tls_
                                   ? tls_->Read(buffer.data(), buffer.size())
                                   : recv(fd_, buffer.data(), buffer.size(), 0);
      if (received > 0) {
        total += static_cast<size_t>(received);
        if (handler_ != nullptr) {
          handler_->OnData({buffer.data(), static_cast<size_t>(received)});
        }
        if (!tls_ && static_cast<size_t>(received) < buffer.size()) break;
        continue;
      }
      if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (received < 0 && errno == EINTR) continue;
      // The peer sends nothing more, but may still read.
      if (received == 0 && released_ && error_ == 0 && Owed().total() > 0) {
        SetReading(false);
        return true;
      }
      // The kernel reports an error once; after that it says that the peer
      // closed.
      if (received < 0) error_ = errno;
      if (error_ == 0) {
        End(stream_end::kClosed, kEndedByPeer);
      } else {
        End(stream_end::kReset, ReasonOf(error_));
      }
      return false;
    }
    return true;
  }

  /// @return as send
  ssize_t WriteToSocket(std::string_view data) {
    return tls_ ? tls_->Write(data)
                : send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
  }

  /// Goes on reading what a TLS session has taken from the socket, of which the
  /// loop does not know.
  void ReadBufferedLater() {
    if (!tls_ || !reading_ || ended_ || !tls_->HasBuffered()) return;
    ScheduleFor(common::duration(0), [](connection& self) {
      if (!self.OnReadable()) CloseAsync(self.wsi_);
    });
  }

  bool FinishConnect() {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      End(stream_end::kReset, ReasonOf(error));
      return false;
    }
    connecting_ = false;
    watched_ = WatchAcknowledgements(fd_);
    if (handler_ != nullptr) handler_->OnConnected();
    return true;
  }

  void ShutDown() {
    SetResetOption(fd_, false);
    if (tls_) tls_->Finish();
    shutdown(fd_, SHUT_WR);
    shut_down_ = true;
    CloseWhenDelivered();
  }

  /// Closes after the linger time, once the peer has all bytes: those that the
  /// kernel holds are lost if the VM ends with the process.
  void CloseWhenDelivered() {
    ScheduleFor(kLingerLimit, [](connection& self) {
      if (self.Owed().total() > 0) {
        if (!self.drain_limited_) self.LimitDrain();
        self.CloseWhenDelivered();
      } else {
        CloseAsync(self.wsi_);
      }
    });
  }

  /// Ends a closed connection whose peer takes too few of the pending bytes.
  void LimitDrain() {
    drain_limited_ = true;
    drained_before_ = DeliveredBytes();
    ScheduleFor(kDrainLimit, [](connection& self) {
      if (self.DeliveredBytes() - self.drained_before_ >= kMinDrainBytes) {
        self.LimitDrain();
        return;
      }
      self.close_reason_ = kDrainExpired;
      CloseAsync(self.wsi_);
    });
  }

  /// Runs an action later, unless the connection has been closed by then.
  void ScheduleFor(common::duration delay, void (*action)(connection&)) {
    const std::weak_ptr<connection> self = weak_from_this();
    loop_.Schedule(delay, [self, action] {
      const std::shared_ptr<connection> kept = self.lock();
      if (kept && kept->wsi_ != nullptr) action(*kept);
    });
  }

  /// @return number of bytes that the peer has acknowledged
  uint64_t DeliveredBytes() const {
    // With TLS, what is unacknowledged includes more than was handed over.
    return handed_ - std::min<uint64_t>(handed_, Owed().unacknowledged);
  }

  /// Frees what was sent, once that is at least half: a peer that is always a
  /// little behind would let it grow for as long as the connection lasts.
  void DiscardSent() {
    if (sent_ < PendingBytes()) return;
    outgoing_.erase(0, std::exchange(sent_, 0));
    if (outgoing_.capacity() > kReadBytes) outgoing_.shrink_to_fit();
  }

  /// Requests the next writable event from the loop: libwebsockets drops a
  /// request that is made within that event's own callback.
  void RequestWritable() {
    ScheduleFor(common::duration(0),
                [](connection& self) { lws_callback_on_writable(self.wsi_); });
  }

  /// @return why the kernel or the loop closed the connection
  std::string_view ReasonOfClose() {
    socklen_t size = sizeof(error_);
    if (error_ == 0) getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error_, &size);
    if (error_ != 0) return ReasonOf(error_);
    return PeerClosed() ? kEndedByPeer : kEndedByStop;
  }

  void OnHandedOver(ssize_t bytes) {
    handed_ += static_cast<uint64_t>(bytes);
    last_progress_ = clock_.Now();
    if (!watched_ || watching_) return;
    watching_ = true;
    progress_.Begin(last_progress_, DeliveredBytes());
    ScheduleWatch();
  }

  void ScheduleWatch() {
    if (progress_.NextCheck() < kMaxCheckPeriod) {
      ScheduleFor(progress_.NextCheck(),
                  [](connection& self) { self.CheckPeer(); });
      return;
    }
    const std::weak_ptr<connection> self = weak_from_this();
    loop_.ScheduleCoarse([self] {
      const std::shared_ptr<connection> kept = self.lock();
      if (kept && kept->wsi_ != nullptr) kept->CheckPeer();
    });
  }

  /// Ends the connection if its peer is gone or takes nothing.
  void CheckPeer() {
    watching_ = Owed().total() > 0;
    if (!watching_) return;
    const peer_state state =
        progress_.Judge(SampleOf(fd_, clock_.Now(), DeliveredBytes()));
    if (state == peer_state::kAlive) {
      ScheduleWatch();
      return;
    }
    SetResetOption(fd_, true);
    CloseAsync(wsi_);
    End(stream_end::kReset,
        state == peer_state::kSilent ? kEndedByTimeout : kStalled);
  }

  void End(stream_end how, std::string_view why) {
    if (ended_) return;
    if (wsi_ != nullptr) {
      owed_at_end_ = Owed();
      ReportUndelivered(why);
    }
    ended_ = true;
    tcp_handler* handler = std::exchange(handler_, nullptr);
    if (handler != nullptr) handler->OnEnd(how);
  }

  event_loop& loop_;
  int fd_;
  lws* wsi_ = nullptr;
  tcp_handler* handler_ = nullptr;
  bool connecting_;
  bool dialled_;
  bool reading_ = true;
  bool released_ = false;
  bool shut_down_ = false;
  bool drain_limited_ = false;
  bool reset_on_close_ = false;
  bool ended_ = false;
  bool reported_ = false;  ///< what it owed as it ended
  owed_bytes owed_at_end_;
  std::unique_ptr<tls_session> tls_;  ///< null: plain TCP
  std::string peer_;
  std::string request_id_;
  std::string outgoing_;
  bool watched_ = false;   ///< by CheckPeer instead of the kernel
  bool watching_ = false;  ///< the next CheckPeer is scheduled
  peer_progress progress_;
  uint64_t handed_ = 0;          ///< bytes that the kernel took so far
  uint64_t drained_before_ = 0;  ///< delivered as the drain limit was started
  size_t sent_ = 0;              ///< number of bytes of outgoing_ already sent
  int error_ = 0;                ///< of the socket
  std::string_view close_reason_;  ///< set before this side closes
  common::system_clock clock_;
  /// When bytes were last handed to the kernel.
  common::time_point last_progress_ = clock_.Now();
};

owed_bytes tcp_stream::observer::Owed() const {
  const std::shared_ptr<const connection> kept = connection_.lock();
  return kept ? kept->Owed() : owed_bytes();
}

void tcp_stream::observer::ReportGivenUp() const {
  const std::shared_ptr<connection> kept = connection_.lock();
  if (kept) kept->ReportUndelivered(kEndedByStop);
}

void tcp_stream::observer::Abort() const {
  const std::shared_ptr<connection> observed = connection_.lock();
  if (observed) observed->Abort();
}

tcp_stream::tcp_stream(std::shared_ptr<connection> registered)
    : connection_(std::move(registered)) {}

tcp_stream::~tcp_stream() { connection_->Release(); }

void tcp_stream::SetHandler(tcp_handler& handler) {
  connection_->SetHandler(&handler);
}
void tcp_stream::Write(std::string_view data) { connection_->Write(data); }
size_t tcp_stream::PendingBytes() const { return connection_->PendingBytes(); }
owed_bytes tcp_stream::OwedAtEnd() const { return connection_->owed_at_end(); }

owed_bytes tcp_stream::Owed() const { return connection_->Owed(); }

void tcp_stream::SetStallTimeout(common::duration limit) {
  connection_->SetStallTimeout(limit);
}
tcp_stream::observer tcp_stream::Observe() const {
  return observer(connection_);
}
void tcp_stream::SetRequestId(std::string_view id) {
  connection_->SetRequestId(id);
}
void tcp_stream::PauseReading() { connection_->SetReading(false); }
void tcp_stream::ResumeReading() { connection_->SetReading(true); }
void tcp_stream::Abort() { connection_->Abort(); }
void tcp_stream::CloseNow() { connection_->CloseNow(); }
void tcp_stream::SetResetOnClose(bool reset) {
  connection_->SetResetOnClose(reset);
}
bool tcp_stream::PeerClosed() const { return connection_->PeerClosed(); }
bool tcp_stream::HasUnreadData() const { return connection_->HasUnreadData(); }
const std::string& tcp_stream::peer() const { return connection_->peer(); }

std::unique_ptr<tcp_stream> tcp_stream::Adopt(event_loop& loop, int fd,
                                              std::string peer,
                                              const tls_server_context* tls) {
  TuneSocket(fd);
  loop.buffers().Add(fd);
  const std::shared_ptr<connection> created =
      std::make_shared<connection>(loop, fd, false, std::move(peer));
  std::unique_ptr<tls_session> session = tls ? tls->Accept(fd) : nullptr;
  const bool secured = tls == nullptr || session != nullptr;
  created->SetTls(std::move(session));
  if (!secured || !created->Register()) {
    loop.buffers().Remove(fd);
    common::Log(common::log_channel::kNet, common::log_level::kWarning,
                "cannot register the socket with the event loop");
    ::close(fd);
    return nullptr;
  }
  return std::make_unique<tcp_stream>(created);
}

std::unique_ptr<tcp_stream> tcp_stream::Dial(event_loop& loop,
                                             const endpoint& to,
                                             tcp_handler& handler) {
  sockaddr_in address{};
  if (!ToSocketAddress(to, &address)) {
    common::SetLastError(common::result_code::kTargetLost,
                         to.address + " is not an IPv4 address");
    return nullptr;
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                          IPPROTO_TCP);
  if (fd < 0) {
    common::SetLastError(common::result_code::kTargetLost,
                         SocketErrorText("cannot create a socket for", to));
    return nullptr;
  }
  TuneSocket(fd);
  // Before the window of the connection is offered.
  loop.buffers().Add(fd);
  const int started =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (started != 0 && errno != EINPROGRESS) {
    common::SetLastError(common::result_code::kTargetLost,
                         SocketErrorText("cannot dial", to));
    loop.buffers().Remove(fd);
    ::close(fd);
    return nullptr;
  }
  const std::shared_ptr<connection> created =
      std::make_shared<connection>(loop, fd, true, FormatEndpoint(to));
  created->SetHandler(&handler);
  if (!created->Register()) {
    loop.buffers().Remove(fd);
    ::close(fd);
    common::SetLastError(common::result_code::kTargetLost,
                         "cannot register the socket with the event loop");
    return nullptr;
  }
  return std::make_unique<tcp_stream>(created);
}

}  // namespace wisteriadale::net
