#include "net/http1_server.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "common/log.h"
#include "common/metrics.h"
#include "net/message_too_large.h"

namespace wisteriadale::net {
namespace {

// How often connections are checked for timeouts, which are in seconds.
constexpr common::duration kTimeoutCheckPeriod = std::chrono::milliseconds(250);
// A connection that was just accepted is not idle: its request is on the way.
constexpr common::duration kFirstRequestTime = std::chrono::milliseconds(300);
// Idle time from which a connection may be closed to admit another.
constexpr common::duration kMinIdleTime = std::chrono::seconds(1);
// A body of a byte now and then would keep its connection open for hours.
constexpr double kMinBodyBytesPerSecond = 1000;
// Bytes of pipelined requests that are read while a request is in progress.
constexpr size_t kMaxReadAheadBytes = size_t{64} * 1024;

// Bytes of responses that a caller may leave unread before its next request is
// started: one that reads nothing could otherwise make the process hold
// responses without end.
constexpr size_t kMaxUnreadResponseBytes = size_t{256} * 1024;

// A body is held once more, on its way to a target.
constexpr size_t kBodyCopies = 2;

void AppendNumber(uint64_t value, int base, std::string* to) {
  char text[24];
  const std::to_chars_result done =
      std::to_chars(text, text + sizeof(text), value, base);
  to->append(text, done.ptr);
}

bool HasNoBody(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

struct error_status {
  int status;
  std::string_view reason;
};

error_status StatusOf(http1_error error) {
  switch (error) {
    case http1_error::kHeadTooLarge:
    case http1_error::kTrailerTooLarge:
      return {431, "Request Header Fields Too Large"};
    case http1_error::kBodyTooLarge:
      return {413, "Content Too Large"};
    default:
      return {400, "Bad Request"};
  }
}

}  // namespace

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
  /// @return whether the connection may be closed to admit another
  bool Replaceable(common::time_point now) const {
    return stream_ && !busy() && now - last_activity_ > kMinIdleTime &&
           stream_->Owed().total() == 0 && input_.empty() &&
           !stream_->HasUnreadData();
  }
  /// @return sorts connections by what their callers would miss
  std::pair<bool, common::time_point> Worth() const {
    return {requests_ > 0, last_activity_};
  }
  /// Closes an idle connection, to free its descriptor.
  void Replace() {
    stream_->CloseNow();
    Drop();
  }

  /// Closes the connection if the caller exceeds the header or idle timeout.
  void CheckTimeouts(common::time_point now) {
    UpdateHeld();
    if (exchange_ != nullptr) return;
    if (parser_ != nullptr) {
      const common::duration limit = server_->limits_.header_timeout;
      const common::duration elapsed = now - request_start_;
      const bool timed_out =
          parser_->head_complete()
              ? now - last_activity_ > limit || elapsed > limit + BodyTime()
              : elapsed > limit;
      if (timed_out) {
        Reject({408, "Request Timeout"});
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
  void Reject(const error_status& reply);

 private:
  void ForgetHeld() {
    if (server_ != nullptr && server_->account_ != nullptr) {
      server_->account_->Set(*this, {});
    }
  }
  /// Closes the connection after a last response.
  void Reply(std::string_view status_and_headers);
  void ProcessInput();
  void StartExchange();
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
  bool continue_sent_ = false;
  taking_watch taking_;
};

class http1_server::connection::exchange final : public http1_exchange {
 public:
  exchange(std::weak_ptr<connection> owner, tcp_stream* stream,
           message_head head, std::string body, common::time_point received,
           bool keep_alive)
      : owner_(std::move(owner)),
        stream_(stream),
        head_(std::move(head)),
        body_(std::move(body)),
        request_start_(received),
        keep_alive_(keep_alive) {}

  const message_head& head() const override { return head_; }
  const std::string& body() const override { return body_; }
  common::time_point received_at() const override { return request_start_; }
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
    const std::shared_ptr<connection> owner = owner_.lock();
    if (owner && owner->server_->closing_) keep_alive_ = false;
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
    if (!keep_alive_) {
      out.append("Connection: close\r\n");
    } else if (head_.minor_version == 0) {
      out.append("Connection: keep-alive\r\n");
    }
    out.append("\r\n");
    head_text_ = std::move(out);
  }

  void SendBody(std::string_view data) override {
    if (stream_ == nullptr || !head_sent_ || finished_) return;
    if (no_body_ || data.empty()) return;
    std::string out = std::exchange(head_text_, {});
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

  void Finish() override {
    if (stream_ == nullptr || !head_sent_ || finished_) return;
    finished_ = true;
    std::string out = std::exchange(head_text_, {});
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
  size_t Held() const { return kBodyCopies * body_.size() + buffered_; }

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
  std::weak_ptr<connection> owner_;
  tcp_stream* stream_;
  message_head head_;
  std::string body_;
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

void http1_server::connection::UpdateHeld() {
  if (server_ == nullptr || server_->account_ == nullptr || !stream_) return;
  const common::time_point now = server_->clock_.Now();
  const size_t pending = stream_->PendingBytes();
  common::holding held;
  held.bytes = input_.size() + kBodyCopies * body_.size() + pending +
               (exchange_ ? exchange_->Held() : 0);
  held.since = request_start_;
  held.progress_at = taking_.Update(pending, now);
  if (pending > 0) {
    held.what = common::held_for::kResponse;
  } else if (exchange_) {
    held.what = common::held_for::kRequest;
  } else {
    held.progress_at = last_activity_;
  }
  server_->account_->Set(*this, held);
}

void http1_server::connection::GiveWay() {
  if (!stream_) return;
  const std::shared_ptr<connection> self = shared_from_this();
  if (!exchange_ && stream_->PendingBytes() == 0) {
    Reply("503 Service Unavailable\r\nRetry-After: 1");
    return;
  }
  stream_->Abort();
  Drop();
}

void http1_server::connection::Drop() {
  const std::shared_ptr<connection> self = shared_from_this();
  ForgetHeld();
  if (server_ != nullptr && stream_) {
    server_->closing_responses_.Add(*stream_, server_->clock_.Now());
  }
  stream_.reset();
  parser_.reset();
  const std::shared_ptr<exchange> open = std::move(exchange_);
  if (server_ != nullptr) server_->connections_.erase(this);
  if (open) open->OnDisconnect();
}

void http1_server::connection::Reject(const error_status& reply) {
  common::Metrics().Count("wisteria_requests_malformed_total");
  common::Log(common::log_channel::kRequest, common::log_level::kInfo,
              "rejected an unreadable request with status " +
                  std::to_string(reply.status) + " from " + stream_->peer());
  Reply(std::to_string(reply.status).append(" ").append(reply.reason));
}

void http1_server::connection::Reply(std::string_view status_and_headers) {
  std::string out = "HTTP/1.1 ";
  out.append(status_and_headers)
      .append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  stream_->Write(out);
  Drop();
}

void http1_server::connection::ProcessInput() {
  while (stream_ && !exchange_ && !input_.empty() && !HoldsBack()) {
    if (!parser_) {
      parser_ = http1_parser::ForRequest(server_->limits_.message);
      request_start_ = server_->clock_.Now();
      body_.clear();
      continue_sent_ = false;
    }
    last_activity_ = server_->clock_.Now();
    size_t consumed = 0;
    const http1_error error = parser_->Parse(input_, &consumed, &body_);
    input_.erase(0, consumed);
    if (error != http1_error::kNone) {
      if (parser_->exceeded()) {
        ReportTooLarge("request", *parser_->exceeded(), "", stream_->peer());
      }
      Reject(StatusOf(error));
      return;
    }
    if (!parser_->complete()) {
      const std::string* expect =
          parser_->head_complete() ? parser_->head().Find("Expect") : nullptr;
      if (expect != nullptr && !continue_sent_) {
        continue_sent_ = true;
        stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    StartExchange();
  }
}

void http1_server::connection::StartExchange() {
  const message_head& head = parser_->head();
  if (head.Count("Host") > 1 ||
      (head.minor_version > 0 && head.Count("Host") == 0)) {
    Reject({400, "Bad Request"});
    return;
  }
  const bool keep_alive = head.keep_alive;
  const std::shared_ptr<exchange> started =
      std::make_shared<exchange>(weak_from_this(), stream_.get(), head,
                                 std::move(body_), request_start_, keep_alive);
  body_.clear();
  parser_.reset();
  exchange_ = started;
  UpdateHeld();
  stream_->SetRequestId("");
  ++requests_;
  server_->on_request_(started);
}

void http1_server::connection::OnResponseComplete(bool keep_alive) {
  exchange_.reset();
  UpdateHeld();
  last_activity_ = server_->clock_.Now();
  if (!keep_alive) {
    Drop();
    return;
  }
  if (HoldsBack()) return;
  stream_->ResumeReading();
  // A pipelined request is started from the loop: requests that are answered
  // synchronously would otherwise recurse.
  if (input_.empty()) return;
  const std::weak_ptr<connection> self = weak_from_this();
  server_->loop_.Schedule(common::duration(0), [self] {
    const std::shared_ptr<connection> kept = self.lock();
    if (kept && kept->server_ != nullptr) kept->ProcessInput();
  });
}

std::unique_ptr<http1_server> http1_server::Create(
    event_loop& loop, common::clock& clock, const endpoint& at,
    const http1_server_limits& limits, handler on_request) {
  std::unique_ptr<http1_server> server(
      new http1_server(loop, clock, limits, std::move(on_request)));
  http1_server* raw = server.get();
  server->listener_ =
      tcp_listener::Create(loop, at, [raw](std::unique_ptr<tcp_stream> stream) {
        raw->Accept(std::move(stream));
      });
  if (!server->listener_) return nullptr;
  server->port_ = server->listener_->port();
  server->CheckConnections();
  return server;
}

http1_server::~http1_server() {
  loop_.Cancel(check_timer_);
  for (const auto& [raw, open] : connections_) open->Detach();
}

void http1_server::Accept(std::unique_ptr<tcp_stream> stream) {
  if (connections_.size() >= max_connections_ && !CloseLongestIdle()) {
    common::Metrics().Count("wisteria_connections_rejected_total");
    stream->CloseNow();
    return;
  }
  const std::shared_ptr<connection> accepted =
      std::make_shared<connection>(*this, std::move(stream));
  connections_.emplace(accepted.get(), accepted);
}

bool http1_server::CloseLongestIdle() {
  const common::time_point now = clock_.Now();
  std::shared_ptr<connection> chosen;
  for (const auto& [raw, open] : connections_) {
    if (chosen && open->Worth() >= chosen->Worth()) continue;
    if (open->Replaceable(now)) chosen = open;
  }
  if (!chosen) return false;
  common::Metrics().Count("wisteria_connections_replaced_total");
  chosen->Replace();
  return true;
}

void http1_server::CheckConnections() {
  const common::time_point now = clock_.Now();
  std::vector<std::shared_ptr<connection>> open;
  open.reserve(connections_.size());
  for (const auto& [raw, kept] : connections_) open.push_back(kept);
  for (const std::shared_ptr<connection>& each : open) each->CheckTimeouts(now);
  closing_responses_.Check(now);
  if (account_ != nullptr) account_->MakeRoom();
  check_timer_ =
      loop_.Schedule(kTimeoutCheckPeriod, [this] { CheckConnections(); });
}

void http1_server::CloseIdle() {
  const common::time_point now = clock_.Now();
  std::vector<std::shared_ptr<connection>> idle;
  for (const auto& [raw, kept] : connections_) {
    if (!kept->Active(now)) idle.push_back(kept);
  }
  for (const std::shared_ptr<connection>& each : idle) each->Drop();
}

size_t http1_server::ActiveRequests() const {
  const common::time_point now = clock_.Now();
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [now](const auto& kept) { return kept.second->Active(now); }));
}

undelivered_responses http1_server::Undelivered() const {
  undelivered_responses result;
  const auto add = [&result](const owed_bytes& owed) {
    if (owed.total() > 0) ++result.connections;
    result.bytes += owed.total();
  };
  for (const auto& [raw, open] : connections_) add(open->Owed());
  for (const tcp_stream::observer& each : closing_responses_.Streams()) {
    add(each.Owed());
  }
  return result;
}

void http1_server::ReportGivenUp() const {
  for (const auto& [raw, open] : connections_) open->ReportGivenUp();
  for (const tcp_stream::observer& each : closing_responses_.Streams()) {
    each.ReportGivenUp();
  }
}

}  // namespace wisteriadale::net
