#include "net/channel.h"

#include <deque>
#include <unordered_map>
#include <utility>

#include "common/metrics.h"
#include "net/lws_protocols.h"
#include "net/socket_bytes.h"
#include "net/websocket_frame.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kMaxMessageBytes = 8 << 20;
// Encoded frames are collected up to this size for one write.
constexpr size_t kMaxWriteBytes = size_t{64} * 1024;

class lws_channel;

// Keeps each channel alive while libwebsockets holds a pointer to it.
std::unordered_map<lws_channel*, std::shared_ptr<lws_channel>>& LiveChannels() {
  static std::unordered_map<lws_channel*, std::shared_ptr<lws_channel>> live;
  return live;
}

class lws_channel final : public channel {
 public:
  lws_channel(lws_context* context, lws* wsi, frame_sender sender,
              std::string peer)
      : context_(context), wsi_(wsi), sender_(sender), peer_(std::move(peer)) {}

  void Send(std::string message) override {
    if (wsi_ == nullptr || closing_) return;
    pending_bytes_ += message.size();
    outgoing_.push_back(std::move(message));
    lws_callback_on_writable(wsi_);
  }

  void Close() override {
    on_closed_ = nullptr;
    on_message_ = nullptr;
    closing_ = true;
    if (wsi_ != nullptr) {
      lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
  }

  void SetMessageHandler(
      std::function<void(std::string_view)> handler) override {
    on_message_ = std::move(handler);
  }

  void SetClosedHandler(std::function<void()> handler) override {
    on_closed_ = std::move(handler);
  }

  size_t PendingBytes() const override {
    return pending_bytes_ + frames_.size() - written_;
  }
  std::string peer() const override { return peer_; }

  /// Writes as much as the socket takes. Never calls lws_write, which keeps
  /// what does not fit in a buffer of its own: libwebsockets 4.1 does not
  /// return from lws_service if the peer closes the connection meanwhile.
  int OnWritable() {
    while (true) {
      while (!outgoing_.empty() && frames_.size() < kMaxWriteBytes) {
        pending_bytes_ -= outgoing_.front().size();
        AppendBinaryFrame(outgoing_.front(), sender_, &frames_);
        outgoing_.pop_front();
      }
      if (frames_.empty()) return 0;
      const std::optional<size_t> written =
          WriteToSocket(wsi_, std::string_view(frames_).substr(written_));
      if (!written) return -1;
      written_ += *written;
      if (written_ < frames_.size()) {
        lws_callback_on_writable(wsi_);
        return 0;
      }
      frames_.clear();
      written_ = 0;
      if (frames_.capacity() > kMaxWriteBytes) frames_.shrink_to_fit();
    }
  }

  int OnFragment(std::string_view data, bool last) {
    // Otherwise libwebsockets sends a ping of its own after five minutes, which
    // could end up within a frame that is partly written.
    lws_validity_confirmed(wsi_);
    if (incoming_.size() + data.size() > kMaxMessageBytes) return -1;
    incoming_.append(data);
    if (!last) return 0;
    const std::string message = std::move(incoming_);
    incoming_.clear();
    // The handler may replace itself or close the channel.
    const std::function<void(std::string_view)> handler = on_message_;
    if (handler) handler(message);
    return closing_ ? -1 : 0;
  }

  void OnClosed() {
    wsi_ = nullptr;
    outgoing_.clear();
    frames_.clear();
    pending_bytes_ = written_ = 0;
    const std::function<void()> handler = std::move(on_closed_);
    on_closed_ = nullptr;
    on_message_ = nullptr;
    if (handler) handler();
  }

  void Attach(lws* wsi) { wsi_ = wsi; }

  /// Stores the connection whose handshake is in progress.
  void SetHandshake(lws* wsi) { handshake_wsi_ = wsi; }
  lws* TakeHandshake() { return std::exchange(handshake_wsi_, nullptr); }

  /// Drops all handlers; none is called afterwards.
  void DropHandlers() {
    on_closed_ = nullptr;
    on_message_ = nullptr;
    on_open = nullptr;
  }

  const lws_context* context() const { return context_; }

  /// Set while a dial is in progress; receives the channel, or null if the dial
  /// failed.
  std::function<void(std::shared_ptr<channel>)> on_open;
  common::timer_id dial_timer = 0;

 private:
  const lws_context* context_;
  lws* wsi_;
  frame_sender sender_;
  lws* handshake_wsi_ = nullptr;
  std::string peer_;
  bool closing_ = false;
  std::deque<std::string> outgoing_;
  size_t pending_bytes_ = 0;  ///< size of outgoing_
  std::string frames_;        ///< encoded frames that are being written
  size_t written_ = 0;        ///< number of bytes of frames_ already written
  std::string incoming_;
  std::function<void(std::string_view)> on_message_;
  std::function<void()> on_closed_;
};

void ReleaseChannel(lws_channel* ended) {
  const auto found = LiveChannels().find(ended);
  if (found == LiveChannels().end()) return;
  const std::shared_ptr<lws_channel> kept = std::move(found->second);
  LiveChannels().erase(found);
  kept->OnClosed();
}

event_loop& LoopOf(lws* wsi) {
  return *static_cast<event_loop*>(lws_context_user(lws_get_context(wsi)));
}

/// Reports the result of a dial and stops its timer.
void ReportDial(event_loop& loop, lws_channel* dialled,
                const std::shared_ptr<channel>& result) {
  loop.Cancel(dialled->dial_timer);
  dialled->dial_timer = 0;
  const std::function<void(std::shared_ptr<channel>)> handler =
      std::move(dialled->on_open);
  dialled->on_open = nullptr;
  if (handler) handler(result);
}

void OnOpened(lws* wsi, lws_channel* current) {
  // The dial may have been aborted while the handshake was in progress.
  if (!current->on_open) return;
  current->Attach(wsi);
  ReportDial(LoopOf(wsi), current, LiveChannels().at(current));
}

void FailDial(event_loop& loop, lws_channel* current) {
  const auto found = LiveChannels().find(current);
  if (found == LiveChannels().end()) return;
  const std::shared_ptr<lws_channel> kept = std::move(found->second);
  LiveChannels().erase(found);
  ReportDial(loop, current, nullptr);
}

/// Fails a dial whose handshake did not complete in time.
void TimeOutDial(event_loop& loop, lws_channel* current) {
  lws* wsi = current->TakeHandshake();
  if (wsi != nullptr) {
    lws_set_wsi_user(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
  FailDial(loop, current);
}

bool IsMessageEnd(lws* wsi) {
  return lws_is_final_fragment(wsi) != 0 &&
         lws_remaining_packet_payload(wsi) == 0;
}

}  // namespace

int ChannelClientCallback(lws* wsi, lws_callback_reasons reason, void* user,
                          void* in, size_t length) {
  lws_channel* current = static_cast<lws_channel*>(user);
  switch (reason) {
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
      if (current == nullptr) return -1;
      OnOpened(wsi, current);
      return 0;
    case LWS_CALLBACK_CLIENT_RECEIVE:
      if (current == nullptr) return -1;
      return current->OnFragment({static_cast<const char*>(in), length},
                                 IsMessageEnd(wsi));
    case LWS_CALLBACK_CLIENT_WRITEABLE:
      return current == nullptr ? -1 : current->OnWritable();
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_wsi_user(wsi, nullptr);
      if (current != nullptr) FailDial(LoopOf(wsi), current);
      return 0;
    case LWS_CALLBACK_CLIENT_CLOSED:
      lws_set_wsi_user(wsi, nullptr);
      ReleaseChannel(current);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      // The peer closed the connection before the upgrade, for example because
      // it rejected the certificate.
      lws_set_wsi_user(wsi, nullptr);
      if (current != nullptr) FailDial(LoopOf(wsi), current);
      return 0;
    default:
      return 0;
  }
}

void ChannelDestroyed(lws* wsi, void* user) {
  lws_channel* current = static_cast<lws_channel*>(user);
  if (!LiveChannels().contains(current)) return;
  if (current->on_open) {
    FailDial(LoopOf(wsi), current);
  } else {
    ReleaseChannel(current);
  }
}

void DialChannel(event_loop& loop, const endpoint& to,
                 std::function<void(std::shared_ptr<channel>)> on_open) {
  const std::shared_ptr<lws_channel> dialled = std::make_shared<lws_channel>(
      loop.context(), nullptr, frame_sender::kClient,
      to.address + ":" + std::to_string(to.port));
  dialled->on_open = std::move(on_open);
  LiveChannels().emplace(dialled.get(), dialled);
  lws_client_connect_info info{};
  info.context = loop.context();
  info.vhost = loop.client_vhost();
  info.address = to.address.c_str();
  info.host = to.address.c_str();
  info.origin = to.address.c_str();
  info.port = to.port;
  info.path = "/peer";
  info.protocol = kChannelProtocol;
  info.local_protocol_name = kChannelClientProtocol;
  info.userdata = dialled.get();
  if (loop.client_tls()) {
    info.ssl_connection =
        LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
  }
  lws_channel* raw = dialled.get();
  dialled->dial_timer = loop.Schedule(loop.dial_timeout(), [&loop, raw] {
    raw->dial_timer = 0;
    common::Metrics().Count("wisteria_dials_timed_out_total");
    TimeOutDial(loop, raw);
  });
  lws* wsi = lws_client_connect_via_info(&info);
  if (wsi != nullptr) {
    dialled->SetHandshake(wsi);
    return;
  }
  // libwebsockets may or may not have reported the failure already.
  loop.Schedule(common::duration(0),
                [&loop, raw, dialled] { FailDial(loop, raw); });
}

void DropChannelHandlers(const lws_context* context) {
  for (const auto& [raw, live] : LiveChannels()) {
    if (live->context() == context) live->DropHandlers();
  }
}

}  // namespace wisteriadale::net
