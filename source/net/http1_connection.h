#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "common/byte_account.h"
#include "common/clock.h"
#include "net/held_responses.h"
#include "net/http1_parser.h"
#include "net/http1_server.h"
#include "net/tcp_stream.h"

/// Connections of an http1_server, and the requests on them. Internal to it.
namespace wisteriadale::net {

// A connection that was just accepted is not idle: its request is on the way.
inline constexpr common::duration kFirstRequestTime =
    std::chrono::milliseconds(300);
// Idle time from which a connection may be closed to admit another.
inline constexpr common::duration kMinIdleTime = std::chrono::seconds(1);
// A body of a byte now and then would keep its connection open for hours.
inline constexpr double kMinBodyBytesPerSecond = 1000;
// Bytes of pipelined requests that are read while a request is in progress.
inline constexpr size_t kMaxReadAheadBytes = size_t{64} * 1024;

// Bytes of responses that a caller may leave unread before its next request is
// started: one that reads nothing could otherwise make the process hold
// responses without end.
inline constexpr size_t kMaxUnreadResponseBytes = size_t{256} * 1024;

/// Response to a request that cannot be read.
struct error_status {
  int status;
  std::string_view reason;
};

/// @return whether a response with that status has no body
bool HasNoBody(int status);
/// Appends a number as text.
/// @param base 10 or 16
void AppendNumber(uint64_t value, int base, std::string* to);

/// A connection from a caller.
class http1_server::connection final
    : public tcp_handler,
      public common::byte_holder,
      public std::enable_shared_from_this<connection> {
 public:
  class exchange;

  connection(http1_server& server, std::unique_ptr<tcp_stream> stream)
      : server_(&server),
        stream_(std::move(stream)),
        accepted_at_(server.clock_.Now()),
        last_activity_(accepted_at_) {
    stream_->SetHandler(*this);
    stream_->SetStallTimeout(server.limits_.stall_timeout);
  }

  void OnData(std::string_view data) override {
    input_.append(data);
    const std::shared_ptr<connection> self = shared_from_this();
    ProcessInput();
    UpdateHeld();
    // This connection may be the one that gives way.
    if (server_ != nullptr && server_->account_ != nullptr) {
      server_->account_->MakeRoom();
    }
    if (stream_ && (exchange_ || HoldsBack()) &&
        input_.size() > kMaxReadAheadBytes) {
      stream_->PauseReading();
    }
  }

  void OnDrained() override {
    if (exchange_) return;
    const std::shared_ptr<connection> self = shared_from_this();
    stream_->ResumeReading();
    ProcessInput();
  }

  void OnEnd(stream_end) override { Drop(); }

  void GiveWay() override;
  /// Tells the account what is held for the caller.
  void UpdateHeld();
  /// @return whether more of the response may be held
  bool MayBuffer() const {
    return server_ == nullptr || server_->account_ == nullptr ||
           server_->account_->MayGrow(*this);
  }

  /// @return time that the body so far takes at the lowest accepted rate
  common::duration BodyTime() const {
    return common::FromSeconds(static_cast<double>(body_.size()) /
                               kMinBodyBytesPerSecond);
  }
  /// @return whether the request that is being read takes too long
  bool TimedOut(common::time_point now) const {
    const http1_server_limits& limits = server_->limits_;
    const common::duration elapsed = now - request_start_;
    if (!parser_->head_complete()) return elapsed > limits.header_timeout;
    if (limits.body_timeout.count() > 0) return elapsed > limits.body_timeout;
    return now - last_activity_ > limits.header_timeout ||
           elapsed > limits.header_timeout + BodyTime();
  }
  /// @return whether the next request waits until the caller has read more
  bool HoldsBack() const {
    return stream_->PendingBytes() > kMaxUnreadResponseBytes;
  }
  bool busy() const { return exchange_ != nullptr || parser_ != nullptr; }
  /// @return whether a request is in progress or may be about to be read
  bool HasRequest(common::time_point now) const {
    const bool is_new =
        requests_ == 0 && now - accepted_at_ < kFirstRequestTime;
    // A pipelined request is started from the loop.
    return busy() || is_new || !input_.empty() ||
           (stream_ && stream_->HasUnreadData());
  }

  /// @return whether this process has something to do for the caller
  bool Active(common::time_point now) const {
    return HasRequest(now) || (stream_ && stream_->PendingBytes() > 0);
  }
  owed_bytes Owed() const { return stream_ ? stream_->Owed() : owed_bytes(); }
  void ReportGivenUp() const {
    if (stream_) stream_->Observe().ReportGivenUp();
  }
  /// @return whether the connection may be closed to admit another: nothing is
  /// owed to its caller, who has sent nothing for some time, be it within a
  /// request
  bool Replaceable(common::time_point now) const {
    return stream_ && !exchange_ && now - last_activity_ > kMinIdleTime &&
           stream_->Owed().total() == 0 && !stream_->HasUnreadData() &&
           (parser_ != nullptr || input_.empty());
  }
  /// @return sorts connections by what their callers would miss
  std::pair<bool, common::time_point> Worth() const {
    return {requests_ > 0, last_activity_};
  }
  /// Closes a replaceable connection, to free its descriptor.
  void Replace() {
    stream_->CloseNow();
    Drop();
  }

  /// Closes the connection if the caller exceeds the header or idle timeout.
  void CheckTimeouts(common::time_point now) {
    UpdateHeld();
    if (exchange_ != nullptr) return;
    if (parser_ != nullptr) {
      if (TimedOut(now)) {
        RejectOrPassOn(body_fault::kTimedOut, {408, "Request Timeout"});
      }
    } else if (stream_->PendingBytes() > 0) {
      last_activity_ = now;
    } else if (now - last_activity_ > server_->limits_.idle_timeout) {
      Drop();
    }
  }

  /// Called when the server is destroyed: drops the reference to it.
  void Detach() {
    ForgetHeld();
    stream_.reset();
    server_ = nullptr;
  }

  void Drop();
  /// @return whether a complete request waits behind the one in progress
  bool HoldsRequest() const;
  /// Rejects the request that is being read; one whose head is known is passed
  /// to the server's handler if that handles faults.
  void RejectOrPassOn(body_fault fault, const error_status& reply);
  void Reject(const error_status& reply);
  /// @return whether the server's handler responds to a request that is not
  /// complete
  bool PassedOn(body_fault fault);

 private:
  void ForgetHeld() {
    if (server_ != nullptr && server_->account_ != nullptr) {
      server_->account_->Set(*this, {});
    }
  }
  /// Closes the connection after a last response.
  void Reply(std::string_view status_and_headers);
  void ProcessInput();
  /// Examines a request whose head has arrived, but not all of its body.
  void OnHead();
  void StartExchange(body_fault fault);
  /// @return whether the connection goes on with another protocol
  bool Upgraded();
  void ResetLater();
  void OnResponseComplete(bool keep_alive);

  http1_server* server_;
  std::unique_ptr<tcp_stream> stream_;
  std::string input_;
  std::unique_ptr<http1_parser> parser_;  ///< set while a request is read
  std::string body_;
  std::shared_ptr<exchange> exchange_;  ///< set while a request is in progress
  uint64_t requests_ = 0;
  common::time_point request_start_{};
  common::time_point accepted_at_;
  common::time_point last_activity_;
  bool head_examined_ = false;  ///< of the request that is being read
  /// The requests that were read behind the last response are only refused.
  bool refuses_requests_ = false;
  taking_watch taking_;         ///< of what this process holds
  taking_watch acknowledging_;  ///< of what the kernel holds, too
};

class http1_server::connection::exchange final : public http1_exchange {
 public:
  exchange(std::weak_ptr<connection> owner, tcp_stream* stream,
           message_head head, std::string body, body_fault fault,
           common::time_point received, bool keep_alive, size_t body_copies)
      : owner_(std::move(owner)),
        stream_(stream),
        peer_(stream->peer()),
        body_copies_(body_copies),
        head_(std::move(head)),
        body_(std::move(body)),
        body_bytes_(body_.size()),
        fault_(fault),
        request_start_(received),
        keep_alive_(keep_alive) {}

  const message_head& head() const override { return head_; }
  const std::string& body() const override { return body_; }
  std::string TakeBody() override { return std::exchange(body_, {}); }
  body_fault fault() const override { return fault_; }
  common::time_point received_at() const override { return request_start_; }
  std::string_view peer() const override { return peer_; }
  bool head_sent() const override { return head_sent_; }

  void SendHead(int status, std::string_view reason,
                std::span<const http_header> headers,
                const response_framing& framing) override {
    if (stream_ == nullptr || head_sent_) return;
    head_sent_ = true;
    no_body_ = head_.method == "HEAD" || HasNoBody(status);
    if (!no_body_) framing_ = framing.how;
    if (framing_ == body_framing::kChunked && head_.minor_version == 0) {
      framing_ = body_framing::kUntilClose;
    }
    const bool has_length = framing.how == body_framing::kLength ||
                            (framing.how == body_framing::kNone && !no_body_);
    if (framing_ == body_framing::kUntilClose) {
      keep_alive_ = false;
      stream_->SetResetOnClose(true);
    }
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ");
    AppendNumber(static_cast<uint64_t>(status), 10, &out);
    out.append(" ").append(reason).append("\r\n");
    for (const http_header& header : headers) {
      out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (framing_ == body_framing::kChunked) {
      out.append("Transfer-Encoding: chunked\r\n");
    } else if (has_length && !HasNoBody(status)) {
      out.append("Content-Length: ");
      AppendNumber(framing.length, 10, &out);
      out.append("\r\n");
    }
    head_text_ = std::move(out);
  }

  void SendBody(std::string_view data) override {
    if (stream_ == nullptr || !head_sent_ || finished_) return;
    if (no_body_ || data.empty()) return;
    std::string out = TakeHeadText();
    if (framing_ == body_framing::kChunked) {
      AppendNumber(data.size(), 16, &out);
      out.append("\r\n").append(data).append("\r\n");
    } else {
      out.append(data);
    }
    stream_->Write(out);
    if (stream_->PendingBytes() == 0) return;
    const std::shared_ptr<connection> owner = owner_.lock();
    if (owner) owner->UpdateHeld();
  }

  bool RetractHead() override {
    if (stream_ == nullptr || head_text_.empty()) return false;
    head_text_.clear();
    head_sent_ = no_body_ = false;
    framing_ = body_framing::kNone;
    stream_->SetResetOnClose(false);
    return true;
  }

  void Finish() override {
    if (stream_ == nullptr || !head_sent_ || finished_) return;
    finished_ = true;
    std::string out = TakeHeadText();
    if (framing_ == body_framing::kChunked) out.append("0\r\n\r\n");
    if (!out.empty()) stream_->Write(out);
    stream_->SetResetOnClose(false);
    const std::shared_ptr<connection> owner = owner_.lock();
    Detach();
    if (owner) owner->OnResponseComplete(keep_alive_);
  }

  void Abort() override {
    if (stream_ == nullptr) return;
    const std::shared_ptr<connection> owner = owner_.lock();
    // If the final chunk or part of the announced length is missing, a plain
    // close shows that the response is truncated; a body that is delimited by
    // the end of the connection needs a reset.
    if (head_sent_ && framing_ != body_framing::kChunked) stream_->Abort();
    Detach();
    if (owner) owner->Drop();
  }

  void Reset() override {
    const std::shared_ptr<connection> owner = owner_.lock();
    if (stream_ != nullptr && owner) owner->ResetLater();
  }

  void DisableKeepAlive() override { keep_alive_ = false; }

  size_t PendingBytes() const override {
    return stream_ == nullptr ? 0 : stream_->PendingBytes();
  }

  void SetBuffered(size_t bytes) override {
    buffered_ = bytes;
    const std::shared_ptr<connection> owner = owner_.lock();
    if (owner) owner->UpdateHeld();
  }
  bool MayBuffer() const override {
    const std::shared_ptr<connection> owner = owner_.lock();
    return !owner || owner->MayBuffer();
  }
  /// @return bytes that are held for the request and its response, and that
  /// the connection does not know of
  size_t Held() const { return body_copies_ * body_bytes_ + buffered_; }
  /// @return whether a part of the response is held back
  bool HasBuffered() const { return buffered_ > 0; }

  void SetRequestId(std::string_view id) override {
    if (stream_ != nullptr) stream_->SetRequestId(id);
  }

  bool CallerDisconnected() const override {
    return stream_ == nullptr || stream_->PeerClosed();
  }

  void SetDisconnectHandler(std::function<void()> action) override {
    on_disconnect_ = std::move(action);
  }

  void Detach() {
    stream_ = nullptr;
    on_disconnect_ = nullptr;
  }

  void OnDisconnect() {
    const std::function<void()> action = std::move(on_disconnect_);
    Detach();
    if (action) action();
  }

 private:
  /// @return the head with its last headers, as it is about to be sent; empty
  /// if it was sent before
  std::string TakeHeadText() {
    std::string head = std::exchange(head_text_, {});
    if (head.empty()) return head;
    // The server may have begun to stop since the response was started.
    const std::shared_ptr<connection> owner = owner_.lock();
    if (owner && owner->server_->closing_ && !owner->HoldsRequest()) {
      keep_alive_ = false;
    }
    if (!keep_alive_) {
      head.append("Connection: close\r\n");
    } else if (head_.minor_version == 0) {
      head.append("Connection: keep-alive\r\n");
    }
    head.append("\r\n");
    return head;
  }

  std::weak_ptr<connection> owner_;
  tcp_stream* stream_;
  std::string peer_;
  size_t body_copies_;
  message_head head_;
  std::string body_;
  size_t body_bytes_;  ///< as received
  body_fault fault_;
  common::time_point request_start_;
  bool keep_alive_;
  bool head_sent_ = false;
  bool no_body_ = false;
  body_framing framing_ = body_framing::kNone;  ///< of the response
  bool finished_ = false;
  size_t buffered_ = 0;    ///< of the response, by whoever makes it
  std::string head_text_;  ///< sent together with the first part of the body
  std::function<void()> on_disconnect_;
};

}  // namespace wisteriadale::net
