#include "net/http1_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "net/message_too_large.h"

namespace wisteriadale::net {
namespace {

constexpr common::duration kEvictionPeriod = std::chrono::milliseconds(500);
// Ids that a connection remembers; a repeated response to an older request is
// not expected.
constexpr size_t kMaxRememberedIds = 256;
// A connection expires this long before the server's own idle timeout.
constexpr common::duration kIdleMargin = std::chrono::milliseconds(500);

std::string Serialize(const outgoing_request& request) {
  std::string out;
  out.reserve(512 + request.body.size());
  out.append(request.method).append(" ").append(request.target);
  out.append(" HTTP/1.1\r\n");
  for (const http_header& header : request.headers) {
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  const bool may_have_body =
      request.method != "GET" && request.method != "HEAD";
  if (!request.body.empty() || may_have_body) {
    out.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  out.append("\r\n").append(request.body);
  return out;
}

/// @return the server's own idle timeout, from the Keep-Alive header, if any
std::optional<common::duration> KeepAliveTimeout(const message_head& head) {
  const std::string* value = head.Find("Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const size_t at = value->find("timeout=");
  if (at == std::string::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + std::string_view("timeout=").size();
  std::from_chars(begin, value->data() + value->size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

/// A connection to a server, with or without a call on it.
class http1_client::connection final : public tcp_handler {
 public:
  connection(http1_client& owner, std::string server)
      : owner_(owner), server_(std::move(server)) {}

  bool Dial(const endpoint& to) {
    stream_ = tcp_stream::Dial(owner_.loop_, to, *this);
    return stream_ != nullptr;
  }

  const std::string& server() const { return server_; }
  bool open() const { return open_; }
  bool usable() const {
    return open_ && !ended_ && input_consumed_ == input_.size();
  }
  bool sent() const { return sent_; }
  common::time_point expires() const { return expires_; }
  tcp_stream* stream() { return stream_.get(); }

  /// Assigns a call to the connection. The request is sent once the connection
  /// is open.
  void AssignCall(call* current, const outgoing_request& request) {
    call_ = current;
    request_ = Serialize(request);
    head_only_ = request.method == "HEAD";
    max_body_bytes_ = request.max_body_bytes;
    if (!request.echo_value.empty()) RememberId(request.echo_value);
    stream_->SetRequestId(request.echo_value);
    skipped_bytes_ = 0;
    sent_ = false;
    if (open_) SendRequest();
  }
  void ReleaseCall() { call_ = nullptr; }

  void OnConnected() override {
    open_ = true;
    if (call_ != nullptr) SendRequest();
  }
  void OnData(std::string_view data) override;
  void OnEnd(stream_end how) override;

  /// @return whether the connection has carried a call with that id, so that a
  /// repeated response to it could not be told from the one to another call
  bool HasCarried(std::string_view id) const {
    return std::find(carried_ids_.begin(), carried_ids_.end(),
                     std::hash<std::string_view>()(id)) != carried_ids_.end();
  }

  /// @return whether the connection may carry another call
  bool Reusable() const {
    return usable() && keep_alive_ && stream_->PendingBytes() == 0 &&
           expires_ > owner_.clock_.Now();
  }

 private:
  void RememberId(std::string_view id) {
    if (carried_ids_.size() < kMaxRememberedIds) carried_ids_.push_back(0);
    carried_ids_[calls_++ % kMaxRememberedIds] =
        std::hash<std::string_view>()(id);
  }
  void SendRequest() {
    sent_ = true;
    stream_->Write(request_);
    request_.clear();
    request_.shrink_to_fit();
  }
  /// @return whether a success without a length ended while its request was
  /// still sent: such a server may have given up, and a reset that follows is
  /// seen too late
  bool EndedWithinRequest() const {
    const message_head& head = parser_->head();
    return head.framing == body_framing::kUntilClose &&
           head.status / 100 == 2 && stream_->OwedAtEnd().total() > 0;
  }
  http1_error ParseInput();
  void ReportExceeded(const exceeded_limit& limit) const;
  void FinishMessage();

  http1_client& owner_;
  std::string server_;
  std::unique_ptr<tcp_stream> stream_;
  call* call_ = nullptr;
  std::string request_;
  std::string input_;
  size_t input_consumed_ = 0;  ///< bytes at the front of input_
  std::unique_ptr<http1_parser> parser_;
  bool head_only_ = false;
  uint64_t max_body_bytes_ = 0;
  uint64_t skipped_bytes_ = 0;  ///< received by this call, of other responses
  std::vector<size_t> carried_ids_;  ///< hashes of the latest ids
  size_t calls_ = 0;                 ///< with an id
  bool skipping_ = false;  ///< the response is interim or of an earlier call
  bool head_reported_ = false;
  bool open_ = false;
  bool sent_ = false;
  bool ended_ = false;
  bool keep_alive_ = true;
  common::time_point expires_ = common::time_point::max();
};

/// A call; it owns its connection while it runs.
class http1_client::call final : public http1_call {
 public:
  call(http1_client& owner, const outgoing_request& request,
       response_handler& handler)
      : owner_(owner),
        handler_(&handler),
        echo_header_(request.echo_header),
        echo_value_(request.echo_value) {}
  ~call() override {
    owner_.loop_.Cancel(connect_timer_);
    owner_.loop_.Cancel(timer_);
    owner_.loop_.Cancel(failure_timer_);
    // The server sees the close and can stop working on the request.
    if (connection_ != nullptr) owner_.Discard(std::move(connection_));
  }

  bool sent() const override {
    return sent_ || (connection_ != nullptr && connection_->sent());
  }
  void Pause() override {
    if (connection_ != nullptr) connection_->stream()->PauseReading();
  }
  void Resume() override {
    if (connection_ != nullptr) connection_->stream()->ResumeReading();
  }

  void Begin(std::unique_ptr<connection> transport,
             const outgoing_request& request) {
    connection_ = std::move(transport);
    reused_ = connection_->open();
    if (!connection_->open()) {
      connect_timer_ = owner_.loop_.Schedule(request.connect_timeout, [this] {
        connect_timer_ = 0;
        if (!connection_->open()) Fail(call_failure::kNotSent);
      });
    }
    if (request.timeout.count() > 0) {
      timer_ = owner_.loop_.Schedule(request.timeout, [this] {
        timer_ = 0;
        Fail(sent() ? call_failure::kTimedOut : call_failure::kNotSent);
      });
    }
    connection_->AssignCall(this, request);
  }

  /// Reports, from the loop, that no connection could be made.
  void FailAsync() {
    failure_timer_ = owner_.loop_.Schedule(common::duration(0), [this] {
      failure_timer_ = 0;
      Fail(call_failure::kNotSent);
    });
  }

  /// @return whether a response belongs to another call
  bool IsForeign(const message_head& head) const {
    if (echo_header_.empty()) return false;
    const std::string* echoed = head.Find(echo_header_);
    // On a new connection no response to another call can be in transit.
    if (echoed == nullptr) return reused_;
    return *echoed != echo_value_;
  }

  response_handler* handler() const { return handler_; }
  /// @return the value that the response must echo, which identifies the call
  const std::string& id() const { return echo_value_; }

  /// Ends the call with a complete response. `this` may be destroyed within.
  void Complete() {
    owner_.loop_.Cancel(timer_);
    timer_ = 0;
    sent_ = true;
    connection_->ReleaseCall();
    std::unique_ptr<connection> done = std::move(connection_);
    http1_client& owner = owner_;
    response_handler* handler = std::exchange(handler_, nullptr);
    if (done->Reusable()) {
      owner.ReturnToPool(std::move(done));
    } else {
      owner.Discard(std::move(done));
    }
    handler->OnComplete();
  }

  /// Ends the call with a failure. `this` may be destroyed within.
  void Fail(call_failure why) {
    owner_.loop_.Cancel(timer_);
    owner_.loop_.Cancel(connect_timer_);
    timer_ = connect_timer_ = 0;
    sent_ = sent();
    if (connection_ != nullptr) owner_.Discard(std::move(connection_));
    response_handler* handler = std::exchange(handler_, nullptr);
    if (handler != nullptr) handler->OnFailure(why);
  }

 private:
  http1_client& owner_;
  response_handler* handler_;
  std::string echo_header_;
  std::string echo_value_;
  std::unique_ptr<connection> connection_;
  common::timer_id connect_timer_ = 0;
  common::timer_id timer_ = 0;
  common::timer_id failure_timer_ = 0;
  bool sent_ = false;
  bool reused_ = false;
};

void http1_client::connection::ReportExceeded(
    const exceeded_limit& limit) const {
  ReportTooLarge("response", limit, call_ == nullptr ? "" : call_->id(),
                 server_);
}

void http1_client::connection::OnData(std::string_view data) {
  if (call_ == nullptr) {
    // No call can use them, and the server could send them without end.
    ReportExceeded({message_part::kNoMessage, data.size(), 0});
    ended_ = true;
    stream_->Abort();
    return;
  }
  input_.erase(0, input_consumed_);
  input_consumed_ = 0;
  input_.append(data);
  const http1_error error = ParseInput();
  if (call_ == nullptr) return;
  if (error != http1_error::kNone) call_->Fail(call_failure::kMalformed);
}

http1_error http1_client::connection::ParseInput() {
  std::string body;
  while (call_ != nullptr && input_consumed_ < input_.size()) {
    if (!parser_) {
      parser_ = http1_parser::ForResponse(
          {owner_.options_.max_head_bytes, max_body_bytes_}, head_only_);
      head_reported_ = false;
      skipping_ = false;
    }
    size_t consumed = 0;
    body.clear();
    const http1_error error = parser_->Parse(
        std::string_view(input_).substr(input_consumed_), &consumed, &body);
    input_consumed_ += consumed;
    if (error != http1_error::kNone) {
      if (parser_->exceeded()) ReportExceeded(*parser_->exceeded());
      return error;
    }
    if (!parser_->head_complete()) return http1_error::kNone;
    const message_head& head = parser_->head();
    const bool interim = head.status / 100 == 1;
    if (!head_reported_) {
      head_reported_ = true;
      skipping_ = interim || call_->IsForeign(head);
      if (skipping_ && !interim) {
        common::Metrics().Count("wisteria_foreign_answers_total");
      }
      if (!skipping_) {
        keep_alive_ = head.keep_alive;
        call_->handler()->OnHead(head);
        if (call_ == nullptr) return http1_error::kNone;
      }
    }
    if (skipping_) {
      skipped_bytes_ += consumed;
      if (skipped_bytes_ > owner_.options_.max_skipped_bytes) {
        ReportExceeded({message_part::kSkipped, skipped_bytes_,
                        owner_.options_.max_skipped_bytes});
        return http1_error::kBodyTooLarge;
      }
    }
    if (!skipping_ && !body.empty()) {
      call_->handler()->OnBody(body);
      if (call_ == nullptr) return http1_error::kNone;
    }
    if (!parser_->complete()) return http1_error::kNone;
    FinishMessage();
    if (!skipping_) {
      call_->Complete();
      return http1_error::kNone;
    }
  }
  return http1_error::kNone;
}

/// Sets when the connection expires and drops the parser of a complete message.
void http1_client::connection::FinishMessage() {
  const common::duration idle_timeout = owner_.options_.idle_timeout;
  const std::optional<common::duration> server_timeout =
      KeepAliveTimeout(parser_->head());
  const common::duration lifetime =
      server_timeout ? std::min(idle_timeout, *server_timeout - kIdleMargin)
                     : idle_timeout;
  expires_ = owner_.clock_.Now() + lifetime;
  parser_.reset();
}

void http1_client::connection::OnEnd(stream_end how) {
  ended_ = true;
  if (call_ == nullptr) return;
  if (!open_) {
    call_->Fail(call_failure::kNotSent);
    return;
  }
  if (!parser_ || !parser_->head_complete()) {
    call_->Fail(call_failure::kLost);
    return;
  }
  if (how == stream_end::kClosed && !skipping_ && !EndedWithinRequest() &&
      parser_->End() == http1_error::kNone) {
    keep_alive_ = false;
    call_->Complete();
    return;
  }
  if (skipping_) {
    call_->Fail(call_failure::kLost);
    return;
  }
  call_->Fail(how == stream_end::kClosed ? call_failure::kTruncated
                                         : call_failure::kReset);
}

std::string_view ToString(call_failure failure) {
  constexpr std::string_view kNames[] = {"not_sent", "lost",      "truncated",
                                         "reset",    "malformed", "timed_out"};
  return kNames[static_cast<size_t>(failure)];
}

bool IndicatesLostServer(call_failure failure) {
  return failure == call_failure::kLost ||
         failure == call_failure::kTruncated || failure == call_failure::kReset;
}

http1_client::http1_client(event_loop& loop, common::clock& clock,
                           const http1_client_options& options)
    : loop_(loop), clock_(clock), options_(options) {
  EvictExpired();
}

http1_client::~http1_client() { loop_.Cancel(evict_timer_); }

std::unique_ptr<http1_call> http1_client::Start(const outgoing_request& request,
                                                response_handler& handler) {
  std::unique_ptr<call> started =
      std::make_unique<call>(*this, request, handler);
  const std::string server = FormatEndpoint(request.to);
  std::unique_ptr<connection> transport;
  if (request.reuse_connection) {
    transport = TakeFromPool(server, request.echo_value);
  }
  if (!transport) {
    transport = std::make_unique<connection>(*this, server);
    if (!transport->Dial(request.to)) {
      transport.reset();
      common::Log(common::log_channel::kNet, common::log_level::kWarning,
                  common::LastError().text);
      started->FailAsync();
      return started;
    }
  }
  started->Begin(std::move(transport), request);
  return started;
}

std::unique_ptr<http1_client::connection> http1_client::TakeFromPool(
    const std::string& server, std::string_view id) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) return nullptr;
  idle_list& list = found->second;
  std::erase_if(list, [](const std::unique_ptr<connection>& idle) {
    return !idle->Reusable();
  });
  // The most recently used one is the least likely to have been closed.
  const auto chosen =
      std::find_if(list.rbegin(), list.rend(),
                   [id](const std::unique_ptr<connection>& idle) {
                     return id.empty() || !idle->HasCarried(id);
                   });
  if (chosen == list.rend()) return nullptr;
  std::unique_ptr<connection> taken = std::move(*chosen);
  list.erase(std::next(chosen).base());
  return taken;
}

void http1_client::Discard(std::unique_ptr<connection> dropped) {
  dropped->ReleaseCall();
  dropped->stream()->Abort();
  // A method of the connection may be on the call stack.
  loop_.Schedule(common::duration(0),
                 [kept = std::shared_ptr<connection>(std::move(dropped))] {});
}

void http1_client::ReturnToPool(std::unique_ptr<connection> idle) {
  idle_list& list = idle_[idle->server()];
  if (list.size() >= options_.max_idle_per_server) {
    Discard(std::move(idle));
    return;
  }
  list.push_back(std::move(idle));
}

void http1_client::EvictExpired() {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [](const std::unique_ptr<connection>& idle) {
      return !idle->Reusable();
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
  evict_timer_ = loop_.Schedule(kEvictionPeriod, [this] { EvictExpired(); });
}

}  // namespace wisteriadale::net
