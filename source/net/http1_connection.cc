#include "net/http1_connection.h"

#include <charconv>
#include <utility>

#include "common/log.h"
#include "common/metrics.h"
#include "net/message_too_large.h"

namespace wisteriadale::net {
namespace {

// The requests of others that hold the room end, or stall, within this time.
constexpr std::string_view kNoRoom =
    "503 Service Unavailable\r\nRetry-After: 1";

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

void AppendNumber(uint64_t value, int base, std::string* to) {
  char text[24];
  const std::to_chars_result done =
      std::to_chars(text, text + sizeof(text), value, base);
  to->append(text, done.ptr);
}

bool HasNoBody(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

void http1_server::connection::UpdateHeld() {
  if (server_ == nullptr || server_->account_ == nullptr || !stream_) return;
  const common::time_point now = server_->clock_.Now();
  const size_t pending = stream_->PendingBytes();
  common::holding held;
  held.bytes = input_.size() + server_->body_copies_ * body_.size() + pending +
               (exchange_ ? exchange_->Held() : 0);
  held.since = request_start_;
  held.progress_at = taking_.Update(pending, now);
  // Asking the kernel takes time that is only worth it under pressure.
  bool owes = pending > 0;
  if (held.bytes > 0 && server_->account_->Pressed()) {
    const size_t owed = stream_->Owed().total();
    held.progress_at = acknowledging_.Update(owed, now);
    // The next response waits for a caller that does not read the last one.
    owes = owes || (owed > 0 && exchange_ && exchange_->HasBuffered());
  }
  if (owes) {
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
    if (PassedOn(body_fault::kNoRoom)) return;
    Reply(kNoRoom);
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

bool http1_server::connection::PassedOn(body_fault fault) {
  if (!server_->faults_handled_ || !parser_ || !parser_->head_complete()) {
    return false;
  }
  StartExchange(fault);
  return true;
}

void http1_server::connection::RejectOrPassOn(body_fault fault,
                                              const error_status& reply) {
  if (!PassedOn(fault)) Reject(reply);
}

void http1_server::connection::ResetLater() {
  const std::weak_ptr<connection> self = weak_from_this();
  server_->loop_.Schedule(common::duration(0), [self] {
    const std::shared_ptr<connection> kept = self.lock();
    if (!kept || !kept->stream_) return;
    kept->stream_->Abort();
    kept->Drop();
  });
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
      head_examined_ = false;
    }
    last_activity_ = server_->clock_.Now();
    size_t consumed = 0;
    const http1_error error = parser_->Parse(input_, &consumed, &body_);
    input_.erase(0, consumed);
    if (error != http1_error::kNone) {
      if (parser_->exceeded()) {
        ReportTooLarge("request", *parser_->exceeded(), "", stream_->peer());
      }
      if (error == http1_error::kBodyTooLarge) {
        RejectOrPassOn(body_fault::kTooLarge, StatusOf(error));
      } else {
        Reject(StatusOf(error));
      }
      return;
    }
    if (!parser_->complete()) {
      if (parser_->head_complete() && !std::exchange(head_examined_, true)) {
        OnHead();
      }
      return;
    }
    StartExchange(refuses_requests_ ? body_fault::kStopping
                                    : body_fault::kNone);
  }
}

bool http1_server::connection::HoldsRequest() const {
  if (input_.empty()) return false;
  const std::unique_ptr<http1_parser> parser =
      http1_parser::ForRequest(server_->limits_.message);
  std::string body;
  size_t consumed = 0;
  return parser->Parse(input_, &consumed, &body) == http1_error::kNone &&
         parser->complete();
}

void http1_server::connection::OnHead() {
  if (server_->head_check_ && server_->head_check_(parser_->head())) {
    StartExchange(body_fault::kRefusedByHead);
  } else if (parser_->head().Find("Expect") != nullptr) {
    stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void http1_server::connection::StartExchange(body_fault fault) {
  const message_head& head = parser_->head();
  if (head.Count("Host") > 1 ||
      (head.minor_version > 0 && head.Count("Host") == 0)) {
    Reject({400, "Bad Request"});
    return;
  }
  if (fault == body_fault::kNone && Upgraded()) return;
  // What follows an incomplete body cannot be told from the body.
  const bool body_read =
      fault == body_fault::kNone || fault == body_fault::kStopping;
  const bool keep_alive = head.keep_alive && body_read;
  const std::shared_ptr<exchange> started = std::make_shared<exchange>(
      weak_from_this(), stream_.get(), head,
      body_read ? std::move(body_) : std::string(), fault, request_start_,
      keep_alive, server_->body_copies_);
  body_.clear();
  parser_.reset();
  exchange_ = started;
  UpdateHeld();
  stream_->SetRequestId("");
  ++requests_;
  server_->on_request_(started);
}

bool http1_server::connection::Upgraded() {
  const http1_server::upgrade_handler& handler = server_->on_upgrade_;
  if (!handler || !handler(parser_->head(), &stream_, input_)) return false;
  const std::shared_ptr<connection> self = shared_from_this();
  ForgetHeld();
  parser_.reset();
  input_.clear();
  server_->connections_.erase(this);
  return true;
}

void http1_server::connection::OnResponseComplete(bool keep_alive) {
  exchange_.reset();
  UpdateHeld();
  last_activity_ = server_->clock_.Now();
  // The caller of a response that began before the stop was not told that the
  // connection closes. What it sent behind it would be cut at the end of the
  // stop, so that it is refused instead.
  refuses_requests_ = server_->closing_;
  if (!keep_alive || (refuses_requests_ && !HoldsRequest())) {
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

}  // namespace wisteriadale::net
