#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

#include "common/metrics.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kMaxHeaderValueBytes = 1024;
constexpr common::duration kIdleTimeout = std::chrono::seconds(60);

// Headers that are collected from requests.
constexpr std::array<std::string_view, 8> kCollectedHeaders = {
    "authorization",   "accept",      "content-type",   "request-timeout-ms",
    "idempotency-key", "traceparent", "fencing-number", "wisteria-class"};

struct status_reason {
  int status;
  std::string_view reason;
};

constexpr std::array kReasons = {status_reason{200, "OK"},
                                 status_reason{202, "Accepted"},
                                 status_reason{400, "Bad Request"},
                                 status_reason{401, "Unauthorized"},
                                 status_reason{403, "Forbidden"},
                                 status_reason{404, "Not Found"},
                                 status_reason{405, "Method Not Allowed"},
                                 status_reason{408, "Request Timeout"},
                                 status_reason{409, "Conflict"},
                                 status_reason{411, "Length Required"},
                                 status_reason{412, "Precondition Failed"},
                                 status_reason{413, "Content Too Large"},
                                 status_reason{422, "Unprocessable Content"},
                                 status_reason{429, "Too Many Requests"},
                                 status_reason{500, "Internal Server Error"},
                                 status_reason{502, "Bad Gateway"},
                                 status_reason{503, "Service Unavailable"},
                                 status_reason{504, "Gateway Timeout"}};

std::string_view ReasonOf(int status) {
  const auto found = std::find_if(
      kReasons.begin(), kReasons.end(),
      [status](const status_reason& each) { return each.status == status; });
  return found == kReasons.end() ? "Unknown" : found->reason;
}

class responder final : public http_responder {
 public:
  responder(std::shared_ptr<http1_exchange> started, size_t max_pending_bytes)
      : exchange_(std::move(started)), max_pending_bytes_(max_pending_bytes) {}

  void Send(int status, std::string_view content_type, std::string_view body,
            std::span<const http_header> headers) override {
    if (exchange_->head_sent()) return;
    exchange_->Send(status, ReasonOf(status), AllHeaders(content_type, headers),
                    body);
  }

  void StartStream(int status, std::string_view content_type) override {
    const std::array<http_header, 1> more = {
        http_header{"Cache-Control", "no-store"}};
    exchange_->SendHead(status, ReasonOf(status),
                        AllHeaders(content_type, more),
                        {body_framing::kChunked, 0});
    streamed_ = true;
  }

  void Write(std::string_view data) override {
    if (!streamed_) return;
    exchange_->SendBody(data);
    if (exchange_->PendingBytes() <= max_pending_bytes_) return;
    streamed_ = false;
    common::Metrics().Count("wisteria_answers_aborted_total",
                            {{"reason", "pending_bytes"}});
    exchange_->Reset();
  }

  void Finish() override {
    if (std::exchange(streamed_, false)) exchange_->Finish();
  }
  void Abort() override {
    streamed_ = false;
    exchange_->Abort();
  }
  size_t PendingBytes() const override { return exchange_->PendingBytes(); }
  void SetDisconnectHandler(std::function<void()> action) override {
    exchange_->SetDisconnectHandler(std::move(action));
  }

 private:
  static std::vector<http_header> AllHeaders(
      std::string_view content_type, std::span<const http_header> headers) {
    std::vector<http_header> all = {
        {"Content-Type", std::string(content_type)}};
    all.insert(all.end(), headers.begin(), headers.end());
    return all;
  }

  std::shared_ptr<http1_exchange> exchange_;
  size_t max_pending_bytes_;
  bool streamed_ = false;  ///< a stream has been started and not ended
};

/// Decodes the octets that are written as %XX; malformed ones stay.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    constexpr size_t kDigits = 2;
    unsigned char octet = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + kDigits < text.size() &&
        std::from_chars(digits, digits + kDigits, octet, 16).ptr ==
            digits + kDigits) {
      decoded.push_back(static_cast<char>(octet));
      i += kDigits;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

bool MayHaveBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

void CollectHeaders(const message_head& head, http_request* request) {
  for (const std::string_view name : kCollectedHeaders) {
    const std::string* value = head.Find(name);
    if (value == nullptr || value->empty()) continue;
    if (value->size() >= kMaxHeaderValueBytes) {
      request->header_too_long = true;
    } else {
      request->headers.push_back({std::string(name), *value});
    }
  }
}

/// @return the request without its body
http_request MakeRequest(const message_head& head) {
  http_request request;
  request.method = head.method;
  const size_t question = std::min(head.target.find('?'), head.target.size());
  const std::string_view target = head.target;
  request.path = DecodePercent(target.substr(0, question));
  if (question < target.size()) {
    request.query = DecodePercent(target.substr(question + 1));
  }
  // Without a length the end of the body is unknown, and chunks are not taken.
  request.length_missing =
      MayHaveBody(head.method) && head.Find("Content-Length") == nullptr;
  CollectHeaders(head, &request);
  return request;
}

}  // namespace

void http_server::OnRequest(
    const std::shared_ptr<http1_exchange>& started) const {
  http_request request = MakeRequest(started->head());
  request.peer = started->peer();
  request.body = started->TakeBody();
  request.body_too_large = started->fault() == body_fault::kTooLarge;
  request.body_timed_out = started->fault() == body_fault::kTimedOut;
  request.refused_by_head = started->fault() == body_fault::kRefusedByHead;
  request.no_room = started->fault() == body_fault::kNoRoom;
  if (request.body_timed_out) {
    common::Metrics().Count("wisteria_bodies_timed_out_total");
  }
  if (request.length_missing) started->DisableKeepAlive();
  on_request_(std::move(request),
              std::make_shared<responder>(started, limits_.max_pending_bytes));
}

bool http_server::IsRefusedByHead(const message_head& head) const {
  const http_request request = MakeRequest(head);
  return request.length_missing ||
         (limits_.refused_by_head && limits_.refused_by_head(request));
}

bool http_server::Upgrade(const message_head& head,
                          std::unique_ptr<tcp_stream>* stream,
                          std::string_view rest) const {
  if (!on_channel_ || !IsChannelHandshake(head)) return false;
  if (channels_->open >= channels_->max_open) {
    common::Metrics().Count("wisteria_channels_refused_total");
    return false;
  }
  AcceptChannel(loop_, std::move(*stream), head, rest, channels_, on_channel_);
  return true;
}

std::string_view http_request::Header(std::string_view name) const {
  for (const http_header& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

std::string http_request::QueryArgument(std::string_view name) const {
  size_t start = 0;
  while (start < query.size()) {
    const size_t end = std::min(query.find('&', start), query.size());
    const std::string_view pair =
        std::string_view(query).substr(start, end - start);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return {};
}

std::optional<std::unique_ptr<http_server>> http_server::Create(
    event_loop& loop, const options& chosen, http_handler on_request,
    channel_acceptor on_channel) {
  std::unique_ptr<tls_server_context> tls;
  if (chosen.tls.enabled()) {
    std::optional<std::unique_ptr<tls_server_context>> created =
        tls_server_context::Create(chosen.tls);
    if (!created) return std::nullopt;
    tls = std::move(*created);
  }
  std::unique_ptr<http_server> server(new http_server(
      loop, chosen, std::move(on_request), std::move(on_channel)));
  http1_server_limits limits;
  limits.message.max_body_bytes = chosen.max_body_bytes;
  limits.body_timeout = chosen.receive_timeout;
  limits.idle_timeout = kIdleTimeout;
  limits.stall_timeout = chosen.send_stall_limit;
  http_server* raw = server.get();
  server->server_ = http1_server::Create(
      loop, server->clock_, {chosen.address, chosen.port}, limits,
      [raw](const std::shared_ptr<http1_exchange>& started) {
        raw->OnRequest(started);
      });
  if (!server->server_) return std::nullopt;
  http1_server& started = *server->server_;
  if (tls) started.SetTls(std::move(tls));
  if (chosen.account != nullptr) started.SetAccount(*chosen.account);
  started.SetMaxConnections(chosen.max_connections);
  started.SetBodyCopies(chosen.body_copies);
  started.SetFaultsHandled(true);
  started.SetHeadCheck(
      [raw](const message_head& head) { return raw->IsRefusedByHead(head); });
  started.SetUpgradeHandler([raw](const message_head& head,
                                  std::unique_ptr<tcp_stream>* stream,
                                  std::string_view rest) {
    return raw->Upgrade(head, stream, rest);
  });
  return server;
}

}  // namespace wisteriadale::net
