#include "net/http1_server.h"

#include <charconv>
#include <utility>
#include <vector>

#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::net {
namespace {

// How often idle and slow connections are looked for: the bounds are seconds.
constexpr common::duration kSweepPeriod = std::chrono::milliseconds(250);
// Bytes of further requests that are read while one is in progress.
constexpr size_t kMostReadAhead = size_t{64} * 1024;

void AppendNumber(uint64_t value, int base, std::string* to) {
  char text[24];
  const std::to_chars_result done =
      std::to_chars(text, text + sizeof(text), value, base);
  to->append(text, done.ptr);
}

bool HasNoBody(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

struct refusal {
  int status;
  std::string_view reason;
};

refusal RefusalOf(http1_error error) {
  switch (error) {
    case http1_error::kHeadTooLarge:
      return {431, "Request Header Fields Too Large"};
    case http1_error::kBodyTooLarge:
      return {413, "Content Too Large"};
    default:
      return {400, "Bad Request"};
  }
}

}  // namespace

/// A caller's connection.
class http1_server::caller final : public tcp_handler,
                                   public std::enable_shared_from_this<caller> {
 public:
  class exchange;

  caller(http1_server& server, std::unique_ptr<tcp_stream> stream)
      : server_(&server),
        stream_(std::move(stream)),
        active_(server.clock_.Now()) {
    stream_->SetHandler(*this);
  }

  void OnData(std::string_view data) override {
    input_.append(data);
    const std::shared_ptr<caller> self = shared_from_this();
    Advance();
    if (stream_ && exchange_ && input_.size() > kMostReadAhead) {
      stream_->PauseReading();
    }
  }

  void OnEnd(stream_end) override { Drop(); }

  bool busy() const { return exchange_ != nullptr || parser_ != nullptr; }

  /// Closes the connection if its caller is too slow or idle for too long.
  void Check(common::time_point now) {
    if (exchange_ != nullptr) return;
    if (parser_ != nullptr) {
      const common::time_point since =
          parser_->head_complete() ? active_ : received_;
      if (now - since > server_->limits_.header_timeout) {
        Refuse({408, "Request Timeout"});
      }
    } else if (now - active_ > server_->limits_.idle_timeout) {
      Drop();
    }
  }

  /// The server goes; nothing may refer to it any more.
  void Detach() {
    stream_.reset();
    server_ = nullptr;
  }

  void Drop();
  void Refuse(const refusal& why);

 private:
  void Advance();
  void Begin();
  void OnAnswered(bool keep);

  http1_server* server_;
  std::unique_ptr<tcp_stream> stream_;
  std::string input_;
  std::unique_ptr<http1_parser> parser_;  ///< while a request arrives
  std::string body_;
  std::shared_ptr<exchange> exchange_;  ///< while it is answered
  common::time_point received_{};
  common::time_point active_;
  bool continue_sent_ = false;
};

class http1_server::caller::exchange final : public http1_exchange {
 public:
  exchange(std::weak_ptr<caller> owner, tcp_stream* stream, message_head head,
           std::string body, common::time_point received, bool keep)
      : owner_(std::move(owner)),
        stream_(stream),
        head_(std::move(head)),
        body_(std::move(body)),
        received_(received),
        keep_(keep) {}

  const message_head& head() const override { return head_; }
  const std::string& body() const override { return body_; }
  common::time_point received_at() const override { return received_; }
  bool head_sent() const override { return head_sent_; }

  void SendHead(int status, std::string_view reason,
                std::span<const http_header> headers,
                std::optional<uint64_t> length) override {
    if (stream_ == nullptr || head_sent_) return;
    head_sent_ = true;
    no_body_ = head_.method == "HEAD" || HasNoBody(status);
    chunked_ = !no_body_ && !length && head_.minor_version > 0;
    const std::shared_ptr<caller> owner = owner_.lock();
    if (owner && owner->server_->closing_) keep_ = false;
    if (!no_body_ && !length && !chunked_) keep_ = false;
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ");
    AppendNumber(static_cast<uint64_t>(status), 10, &out);
    out.append(" ").append(reason).append("\r\n");
    for (const http_header& header : headers) {
      out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (chunked_) {
      out.append("Transfer-Encoding: chunked\r\n");
    } else if (length && !HasNoBody(status)) {
      out.append("Content-Length: ");
      AppendNumber(*length, 10, &out);
      out.append("\r\n");
    }
    if (!keep_) {
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
    if (chunked_) {
      AppendNumber(data.size(), 16, &out);
      out.append("\r\n").append(data).append("\r\n");
    } else {
      out.append(data);
    }
    stream_->Write(out);
  }

  void Finish() override {
    if (stream_ == nullptr || !head_sent_ || finished_) return;
    finished_ = true;
    std::string out = std::exchange(head_text_, {});
    if (chunked_) out.append("0\r\n\r\n");
    if (!out.empty()) stream_->Write(out);
    const std::shared_ptr<caller> owner = owner_.lock();
    Detach();
    if (owner) owner->OnAnswered(keep_);
  }

  void Abort() override {
    if (stream_ == nullptr) return;
    const std::shared_ptr<caller> owner = owner_.lock();
    // Without a final chunk or the promised length, a plain close shows that
    // the answer is cut; a body that ends with its connection needs a reset.
    if (head_sent_ && !chunked_) stream_->Abort();
    Detach();
    if (owner) owner->Drop();
  }

  size_t PendingBytes() const override {
    return stream_ == nullptr ? 0 : stream_->PendingBytes();
  }

  bool CallerDisconnected() const override {
    return stream_ == nullptr || stream_->PeerClosed();
  }

  void SetDisconnectHandler(std::function<void()> action) override {
    on_gone_ = std::move(action);
  }

  void Detach() {
    stream_ = nullptr;
    on_gone_ = nullptr;
  }

  void Gone() {
    const std::function<void()> action = std::move(on_gone_);
    Detach();
    if (action) action();
  }

 private:
  std::weak_ptr<caller> owner_;
  tcp_stream* stream_;
  message_head head_;
  std::string body_;
  common::time_point received_;
  bool keep_;
  bool head_sent_ = false;
  bool no_body_ = false;
  bool chunked_ = false;
  bool finished_ = false;
  std::string head_text_;  ///< sent together with the first part of the body
  std::function<void()> on_gone_;
};

void http1_server::caller::Drop() {
  const std::shared_ptr<caller> self = shared_from_this();
  stream_.reset();
  parser_.reset();
  const std::shared_ptr<exchange> open = std::move(exchange_);
  if (server_ != nullptr) server_->callers_.erase(this);
  if (open) open->Gone();
}

void http1_server::caller::Refuse(const refusal& why) {
  std::string out = "HTTP/1.1 " + std::to_string(why.status) + " ";
  out.append(why.reason)
      .append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  stream_->Write(out);
  common::Metrics().Count("wisteria_requests_malformed_total");
  common::Log(common::log_channel::kRequest, common::log_level::kInfo,
              "refused a request that cannot be read, with " +
                  std::to_string(why.status) + ", from " + stream_->peer());
  Drop();
}

void http1_server::caller::Advance() {
  while (stream_ && !exchange_ && !input_.empty()) {
    if (!parser_) {
      parser_ = http1_parser::ForRequest(server_->limits_.message);
      received_ = server_->clock_.Now();
      body_.clear();
      continue_sent_ = false;
    }
    active_ = server_->clock_.Now();
    size_t consumed = 0;
    const http1_error error = parser_->Parse(input_, &consumed, &body_);
    input_.erase(0, consumed);
    if (error != http1_error::kNone) {
      Refuse(RefusalOf(error));
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
    Begin();
  }
}

void http1_server::caller::Begin() {
  const message_head& head = parser_->head();
  if (head.Count("Host") > 1 ||
      (head.minor_version > 0 && head.Count("Host") == 0)) {
    Refuse({400, "Bad Request"});
    return;
  }
  const bool keep = head.keep_alive;
  const std::shared_ptr<exchange> started = std::make_shared<exchange>(
      weak_from_this(), stream_.get(), head, std::move(body_), received_, keep);
  body_.clear();
  parser_.reset();
  exchange_ = started;
  server_->on_request_(started);
}

void http1_server::caller::OnAnswered(bool keep) {
  exchange_.reset();
  active_ = server_->clock_.Now();
  if (!keep) {
    Drop();
    return;
  }
  stream_->ResumeReading();
  // A request that waits is begun from the loop: answers that come at once
  // would otherwise nest.
  if (input_.empty()) return;
  const std::weak_ptr<caller> self = weak_from_this();
  server_->loop_.Schedule(common::duration(0), [self] {
    const std::shared_ptr<caller> kept = self.lock();
    if (kept && kept->server_ != nullptr) kept->Advance();
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
  server->Sweep();
  return server;
}

http1_server::~http1_server() {
  loop_.Cancel(sweep_timer_);
  for (const auto& [raw, open] : callers_) open->Detach();
}

void http1_server::Accept(std::unique_ptr<tcp_stream> stream) {
  const std::shared_ptr<caller> accepted =
      std::make_shared<caller>(*this, std::move(stream));
  callers_.emplace(accepted.get(), accepted);
}

void http1_server::Sweep() {
  const common::time_point now = clock_.Now();
  std::vector<std::shared_ptr<caller>> open;
  open.reserve(callers_.size());
  for (const auto& [raw, kept] : callers_) open.push_back(kept);
  for (const std::shared_ptr<caller>& each : open) each->Check(now);
  sweep_timer_ = loop_.Schedule(kSweepPeriod, [this] { Sweep(); });
}

void http1_server::CloseIdle() {
  std::vector<std::shared_ptr<caller>> idle;
  for (const auto& [raw, kept] : callers_) {
    if (!kept->busy()) idle.push_back(kept);
  }
  for (const std::shared_ptr<caller>& each : idle) each->Drop();
}

size_t http1_server::ActiveRequests() const {
  size_t busy = 0;
  for (const auto& [raw, kept] : callers_) busy += kept->busy() ? 1 : 0;
  return busy;
}

}  // namespace wisteriadale::net
