#include "net/stream_channel.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/metrics.h"
#include "net/lws_protocols.h"
#include "net/peer_progress.h"
#include "net/websocket_frame.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kMaxMessageBytes = size_t{8} << 20;
// Pings are not answered while the peer lacks so many bytes.
constexpr size_t kMaxPendingForPong = size_t{64} * 1024;
// Frames up to this size are collected for one write.
constexpr size_t kMaxWriteBytes = size_t{64} * 1024;

class stream_channel;

// Keeps each channel alive while its connection is open.
std::unordered_map<const stream_channel*, std::shared_ptr<stream_channel>>&
LiveChannels() {
  static std::unordered_map<const stream_channel*,
                            std::shared_ptr<stream_channel>>
      live;
  return live;
}

/// The accepting end of a channel.
class stream_channel final
    : public channel,
      public tcp_handler,
      public common::byte_holder,
      public std::enable_shared_from_this<stream_channel> {
 public:
  stream_channel(event_loop& loop, std::unique_ptr<tcp_stream> stream,
                 std::shared_ptr<channel_group> group)
      : loop_(loop),
        stream_(std::move(stream)),
        group_(std::move(group)),
        peer_(stream_->peer()) {
    ++group_->open;
    stream_->SetHandler(*this);
    stream_->SetStallTimeout(kStallTimeout);
  }

  void Send(std::string message) override {
    if (!stream_) return;
    AppendBinaryFrame(message, frame_sender::kServer, &frames_);
    WriteSoon();
  }

  void Close() override {
    DropHandlers();
    if (!stream_) return;
    const std::shared_ptr<stream_channel> self = shared_from_this();
    stream_->CloseNow();
    Forget();
  }

  void SetMessageHandler(
      std::function<void(std::string_view)> handler) override {
    on_message_ = std::move(handler);
  }
  void SetClosedHandler(std::function<void()> handler) override {
    on_closed_ = std::move(handler);
  }
  size_t PendingBytes() const override {
    return frames_.size() + (stream_ ? stream_->PendingBytes() : 0);
  }
  std::string peer() const override { return peer_; }

  void OnData(std::string_view data) override {
    const std::shared_ptr<stream_channel> self = shared_from_this();
    const websocket_reader::handlers handlers = {
        [this](std::string_view message) {
          // The handler may replace itself or close the channel.
          const std::function<void(std::string_view)> handler = on_message_;
          if (handler) handler(message);
        },
        [this](std::string_view payload) {
          if (PendingBytes() > kMaxPendingForPong) return;
          AppendPong(payload, &frames_);
          WriteSoon();
        }};
    const websocket_reader::outcome outcome =
        reader_.Read(data, handlers, [this] { return stream_ != nullptr; });
    if (!stream_) return;
    if (outcome == websocket_reader::outcome::kOpen) {
      UpdateHeld();
      return;
    }
    if (outcome == websocket_reader::outcome::kMalformed) {
      common::Metrics().Count("wisteria_channels_malformed_total");
    }
    stream_->CloseNow();
    OnEnd(stream_end::kClosed);
  }

  void OnEnd(stream_end) override {
    const std::shared_ptr<stream_channel> self = shared_from_this();
    Forget();
    const std::function<void()> handler = std::move(on_closed_);
    DropHandlers();
    if (handler) handler();
  }

  void GiveWay() override {
    if (!stream_) return;
    stream_->Abort();
    OnEnd(stream_end::kReset);
  }

  /// Drops all handlers; none is called afterwards.
  void DropHandlers() {
    on_message_ = nullptr;
    on_closed_ = nullptr;
  }

  const event_loop& loop() const { return loop_; }

 private:
  /// Writes what is sent within one turn of the loop together.
  void WriteSoon() {
    if (frames_.size() >= kMaxWriteBytes) {
      Flush();
    } else if (!std::exchange(write_scheduled_, true)) {
      const std::weak_ptr<stream_channel> self = weak_from_this();
      loop_.Schedule(common::duration(0), [self] {
        const std::shared_ptr<stream_channel> kept = self.lock();
        if (kept) kept->Flush();
      });
    }
  }

  void Flush() {
    write_scheduled_ = false;
    if (stream_ && !frames_.empty()) stream_->Write(frames_);
    frames_.clear();
    if (frames_.capacity() > kMaxWriteBytes) frames_.shrink_to_fit();
  }

  /// Tells the account what is held of a message that has not arrived whole.
  void UpdateHeld() {
    const size_t held = reader_.held();
    if (group_->account == nullptr || (held == 0 && held_ == 0)) return;
    const common::time_point now = clock_.Now();
    if (held_ == 0 || held < held_) message_since_ = now;
    held_ = held;
    group_->account->Set(
        *this, {common::held_for::kMessage, held_, message_since_, now});
    group_->account->MakeRoom();
  }

  void Forget() {
    if (!stream_) return;
    --group_->open;
    if (group_->account != nullptr) group_->account->Set(*this, {});
    stream_.reset();
    frames_.clear();
    LiveChannels().erase(this);
  }

  event_loop& loop_;
  std::unique_ptr<tcp_stream> stream_;  ///< null once the channel has ended
  std::shared_ptr<channel_group> group_;
  common::system_clock clock_;
  size_t held_ = 0;  ///< bytes of a message, as the account knows them
  common::time_point message_since_{};
  std::string peer_;
  websocket_reader reader_{kMaxMessageBytes};
  std::string frames_;  ///< encoded, to be written in the loop's next turn
  bool write_scheduled_ = false;
  std::function<void(std::string_view)> on_message_;
  std::function<void()> on_closed_;
};

}  // namespace

bool IsChannelHandshake(const message_head& head) {
  const std::string* upgrade = head.Find("Upgrade");
  const std::string* protocol = head.Find("Sec-WebSocket-Protocol");
  return head.method == "GET" && upgrade != nullptr &&
         SameName(*upgrade, "websocket") && protocol != nullptr &&
         *protocol == kChannelProtocol &&
         head.Find("Sec-WebSocket-Key") != nullptr;
}

void AcceptChannel(event_loop& loop, std::unique_ptr<tcp_stream> stream,
                   const message_head& head, std::string_view rest,
                   const std::shared_ptr<channel_group>& group,
                   const channel_acceptor& accept) {
  stream->Write(
      std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
                  "Connection: Upgrade\r\nSec-WebSocket-Accept: ")
          .append(WebsocketAccept(*head.Find("Sec-WebSocket-Key")))
          .append("\r\nSec-WebSocket-Protocol: ")
          .append(kChannelProtocol)
          .append("\r\n\r\n"));
  const std::shared_ptr<stream_channel> accepted =
      std::make_shared<stream_channel>(loop, std::move(stream), group);
  LiveChannels().emplace(accepted.get(), accepted);
  accept(accepted);
  if (!rest.empty()) accepted->OnData(rest);
}

void DropAcceptedHandlers(const event_loop& loop) {
  // What the handlers hold may end other channels.
  std::vector<std::shared_ptr<stream_channel>> channels;
  for (const auto& [raw, live] : LiveChannels()) {
    if (&live->loop() == &loop) channels.push_back(live);
  }
  for (const std::shared_ptr<stream_channel>& each : channels) {
    each->DropHandlers();
  }
}

}  // namespace wisteriadale::net
