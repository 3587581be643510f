#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

#include "common/last_error.h"
#include "common/metrics.h"
#include "net/lws_protocols.h"
#include "net/socket_bytes.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kMaxHeaderBytes = 2048;
// A second one if another process takes the port after it was found free.
constexpr int kListenTries = 2;
constexpr size_t kWriteBytes = size_t{16} * 1024;
constexpr size_t kMaxHeaderValueBytes = 1024;
constexpr common::duration kDisconnectCheckPeriod =
    std::chrono::milliseconds(250);

/// A header that is collected from requests.
struct collected_header {
  std::string_view name;
  int token;  ///< WSI_TOKEN_*, or kCustom
};

constexpr int kCustom = -1;
constexpr std::array kCollectedHeaders = {
    collected_header{"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
    collected_header{"accept", WSI_TOKEN_HTTP_ACCEPT},
    collected_header{"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
    collected_header{"request-timeout-ms", kCustom},
    collected_header{"idempotency-key", kCustom},
    collected_header{"traceparent", kCustom},
    collected_header{"fencing-number", kCustom},
    collected_header{"wisteria-class", kCustom},
};

class exchange;

/// State of one connection across all its requests. libwebsockets resets its
/// per-session memory with each request, so that is not used for this.
struct connection {
  std::shared_ptr<exchange> current;
};

class exchange final : public http_responder {
 public:
  exchange(lws* wsi, const http_server& server)
      : wsi_(wsi),
        loop_(server.loop()),
        stall_limit_(server.limits().send_stall_limit),
        max_pending_bytes_(server.limits().max_pending_bytes) {}
  ~exchange() override { CancelTimers(); }
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Send(int status, std::string_view content_type, std::string_view body,
            std::span<const http_header> headers) override {
    if (wsi_ == nullptr || started_) return;
    status_ = status;
    content_type_ = content_type;
    headers_.assign(headers.begin(), headers.end());
    pending_ = body;
    started_ = true;
    finished_ = true;
    ExpectProgress();
    lws_callback_on_writable(wsi_);
  }

  void StartStream(int status, std::string_view content_type) override {
    if (wsi_ == nullptr || started_) return;
    status_ = status;
    content_type_ = content_type;
    chunked_ = true;
    started_ = true;
    lws_callback_on_writable(wsi_);
  }

  void Write(std::string_view data) override {
    if (wsi_ == nullptr || !chunked_ || finished_ || data.empty()) return;
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    if (PendingBytes() == 0) ExpectProgress();
    pending_.append(size).append(data).append("\r\n");
    if (PendingBytes() > max_pending_bytes_) {
      AbortResponse("pending_bytes");
      return;
    }
    lws_callback_on_writable(wsi_);
  }

  void Finish() override {
    if (wsi_ == nullptr || !chunked_ || finished_) return;
    if (PendingBytes() == 0) ExpectProgress();
    pending_.append("0\r\n\r\n");
    finished_ = true;
    lws_callback_on_writable(wsi_);
  }

  void Abort() override {
    if (wsi_ == nullptr) return;
    aborted_ = true;
    lws_callback_on_writable(wsi_);
  }

  size_t PendingBytes() const override { return pending_.size() - written_; }

  void SetDisconnectHandler(std::function<void()> action) override {
    on_disconnect_ = std::move(action);
  }

  // libwebsockets does not read while a request is in progress, so it does not
  // detect that the caller has closed the connection.
  void PollForDisconnect() {
    disconnect_timer_ = loop_.Schedule(kDisconnectCheckPeriod, [this] {
      disconnect_timer_ = 0;
      if (wsi_ == nullptr) return;
      if (PeerHasClosed(lws_get_socket_fd(wsi_))) {
        AbortResponse("caller_gone");
      } else {
        PollForDisconnect();
      }
    });
  }

  /// @return whether the connection is closed or the response is complete
  bool Detached() const { return wsi_ == nullptr; }

  /// Called when the connection is closed.
  void Detach() {
    wsi_ = nullptr;
    CancelTimers();
    if (on_disconnect_ && !(finished_ && done_)) {
      const std::function<void()> action = std::move(on_disconnect_);
      on_disconnect_ = nullptr;
      action();
    }
  }

  /// @return what the libwebsockets callback returns
  int OnWritable() {
    if (aborted_ && pending_.size() == written_) return -1;
    if (!started_) return 0;
    if (!headers_sent_) return WriteHeaders();
    return WriteBody();
  }

  http_request request;
  bool dispatched = false;
  bool close_after = false;  ///< the rest of the request was not read
  bool head_only = false;    ///< the response has no body
  /// Number of bytes read from the connection when the response was complete.
  uint64_t bytes_read_at_end = 0;

 private:
  /// From now on the caller has to read bytes within the stall limit.
  void ExpectProgress() {
    last_progress_us_ = lws_now_usecs();
    if (stall_timer_ == 0) CheckProgressAfter(stall_limit_);
  }

  // One timer for many writes: it is rescheduled only when it fires.
  void CheckProgressAfter(common::duration delay) {
    stall_timer_ = loop_.Schedule(delay, [this] {
      stall_timer_ = 0;
      if (wsi_ == nullptr || PendingBytes() == 0) return;
      const common::duration elapsed(lws_now_usecs() - last_progress_us_);
      if (elapsed >= stall_limit_) {
        AbortResponse("stalled");
      } else {
        CheckProgressAfter(stall_limit_ - elapsed);
      }
    });
  }

  void CancelTimers() {
    loop_.Cancel(stall_timer_);
    loop_.Cancel(disconnect_timer_);
    stall_timer_ = 0;
    disconnect_timer_ = 0;
  }

  /// Truncates the response: its final chunk is never written.
  void AbortResponse(std::string_view reason) {
    common::Metrics().Count("wisteria_answers_aborted_total",
                            {{"reason", reason}});
    aborted_ = true;
    pending_.clear();
    written_ = 0;
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }

  int WriteHeaders() {
    std::array<unsigned char, LWS_PRE + kMaxHeaderBytes> buffer;
    unsigned char* start = buffer.data() + LWS_PRE;
    unsigned char* p = start;
    unsigned char* end = buffer.data() + buffer.size() - 1;
    if (lws_add_http_header_status(wsi_, static_cast<unsigned>(status_), &p,
                                   end) != 0) {
      return -1;
    }
    if (!AddHeader("content-type:", content_type_, &p, end)) return -1;
    for (const http_header& header : headers_) {
      if (!AddHeader(header.name + ":", header.value, &p, end)) return -1;
    }
    if (chunked_) {
      if (!AddHeader("transfer-encoding:", "chunked", &p, end)) return -1;
      if (!AddHeader("cache-control:", "no-store", &p, end)) return -1;
    } else if (lws_add_http_header_content_length(wsi_, pending_.size(), &p,
                                                  end) != 0) {
      return -1;
    }
    if (lws_finalize_write_http_header(wsi_, start, &p, end) != 0) return -1;
    headers_sent_ = true;
    if (head_only) return Complete();
    if (finished_ && pending_.empty()) return Complete();
    lws_callback_on_writable(wsi_);
    return 0;
  }

  int WriteBody() {
    const size_t remaining = pending_.size() - written_;
    if (remaining == 0) return finished_ && !done_ ? Complete() : 0;
    const size_t size = std::min(remaining, kWriteBytes);
    const bool last = finished_ && size == remaining;
    std::array<unsigned char, LWS_PRE + kWriteBytes> buffer;
    std::copy_n(pending_.data() + written_, size, buffer.data() + LWS_PRE);
    const int sent = lws_write(wsi_, buffer.data() + LWS_PRE, size,
                               last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (sent < 0) return -1;
    written_ += size;
    if (last) return Complete();
    if (written_ == pending_.size()) {
      pending_.clear();
      written_ = 0;
      if (aborted_) return -1;
    } else {
      ExpectProgress();
      lws_callback_on_writable(wsi_);
    }
    return 0;
  }

  int Complete() {
    done_ = true;
    on_disconnect_ = nullptr;
    CancelTimers();
    lws* wsi = wsi_;
    wsi_ = nullptr;
    bytes_read_at_end = BytesRead(lws_get_socket_fd(wsi));
    const bool closing = lws_http_transaction_completed(wsi) != 0;
    return closing || close_after ? -1 : 0;
  }

  bool AddHeader(const std::string& name, std::string_view value,
                 unsigned char** p, unsigned char* end) {
    return lws_add_http_header_by_name(
               wsi_, reinterpret_cast<const unsigned char*>(name.c_str()),
               reinterpret_cast<const unsigned char*>(value.data()),
               static_cast<int>(value.size()), p, end) == 0;
  }

  lws* wsi_;
  event_loop& loop_;
  common::duration stall_limit_;
  size_t max_pending_bytes_;
  common::timer_id stall_timer_ = 0;
  common::timer_id disconnect_timer_ = 0;
  int64_t last_progress_us_ = 0;
  int status_ = 0;
  std::string content_type_;
  std::vector<http_header> headers_;
  std::string pending_;
  size_t written_ = 0;
  bool started_ = false;
  bool chunked_ = false;
  bool headers_sent_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  bool done_ = false;
  std::function<void()> on_disconnect_;
};

/// A method that libwebsockets recognises.
struct known_method {
  lws_token_indexes token;
  std::string_view name;
};

constexpr std::array kMethods = {
    known_method{WSI_TOKEN_POST_URI, "POST"},
    known_method{WSI_TOKEN_PUT_URI, "PUT"},
    known_method{WSI_TOKEN_DELETE_URI, "DELETE"},
    known_method{WSI_TOKEN_HEAD_URI, "HEAD"},
    known_method{WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
    known_method{WSI_TOKEN_PATCH_URI, "PATCH"},
    known_method{WSI_TOKEN_GET_URI, "GET"},
};

std::string MethodOf(lws* wsi) {
  for (const known_method& method : kMethods) {
    if (lws_hdr_total_length(wsi, method.token) > 0) {
      return std::string(method.name);
    }
  }
  return "OTHER";
}

std::string QueryOf(lws* wsi) {
  std::string query;
  char fragment[kMaxHeaderValueBytes];
  for (int n = 0;; ++n) {
    const int length = lws_hdr_copy_fragment(wsi, fragment, sizeof(fragment),
                                             WSI_TOKEN_HTTP_URI_ARGS, n);
    if (length < 0) break;
    if (!query.empty()) query.push_back('&');
    query.append(fragment, static_cast<size_t>(length));
  }
  return query;
}

/// Copies one header.
/// @return its length, 0 when it is absent, negative when it is too long
int CopyHeader(lws* wsi, const collected_header& header,
               std::span<char> value) {
  const int capacity = static_cast<int>(value.size());
  if (header.token != kCustom) {
    const lws_token_indexes token =
        static_cast<lws_token_indexes>(header.token);
    if (lws_hdr_total_length(wsi, token) == 0) return 0;
    return lws_hdr_copy(wsi, value.data(), capacity, token);
  }
  const std::string name = std::string(header.name) + ":";
  const int name_length = static_cast<int>(name.size());
  if (lws_hdr_custom_length(wsi, name.c_str(), name_length) <= 0) return 0;
  return lws_hdr_custom_copy(wsi, value.data(), capacity, name.c_str(),
                             name_length);
}

void CollectHeaders(lws* wsi, http_request* request) {
  std::array<char, kMaxHeaderValueBytes> value;
  for (const collected_header& header : kCollectedHeaders) {
    const int length = CopyHeader(wsi, header, value);
    if (length < 0) request->header_too_long = true;
    if (length <= 0) continue;
    request->headers.push_back(
        {std::string(header.name),
         std::string(value.data(), static_cast<size_t>(length))});
  }
}

/// @return the Content-Length, or nothing if it is absent or not a number
std::optional<size_t> ContentLength(lws* wsi) {
  std::array<char, 32> value;
  const int length = lws_hdr_copy(wsi, value.data(), value.size(),
                                  WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (length <= 0) return std::nullopt;
  size_t parsed = 0;
  const char* end = value.data() + length;
  const std::from_chars_result result =
      std::from_chars(value.data(), end, parsed);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return parsed;
}

http_server* ServerOf(lws* wsi) {
  return static_cast<http_server*>(lws_vhost_user(lws_get_vhost(wsi)));
}

void Dispatch(lws* wsi, const std::shared_ptr<exchange>& current) {
  if (current->dispatched) return;
  current->dispatched = true;
  // The handler may take long to respond; its own deadline applies, not the
  // timeout of libwebsockets.
  lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
  current->PollForDisconnect();
  http_request request = std::move(current->request);
  ServerOf(wsi)->on_request()(std::move(request), current);
}

/// Dispatches a request without its complete body if that does not arrive in
/// time.
void ScheduleBodyTimeout(lws* wsi, const std::shared_ptr<exchange>& current) {
  http_server* server = ServerOf(wsi);
  server->loop().Schedule(
      server->limits().receive_timeout,
      [wsi, weak = std::weak_ptr<exchange>(current)] {
        const std::shared_ptr<exchange> late = weak.lock();
        if (!late || late->dispatched || late->Detached()) return;
        common::Metrics().Count("wisteria_bodies_timed_out_total");
        late->request.body_timed_out = true;
        late->close_after = true;
        Dispatch(wsi, late);
      });
}

bool MayHaveBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

connection* ConnectionOf(lws* wsi) {
  return static_cast<connection*>(lws_get_opaque_user_data(wsi));
}

/// @return whether the request's headers were read together with the previous
/// request
bool IsPipelined(lws* wsi) {
  const connection* state = ConnectionOf(wsi);
  if (state == nullptr || !state->current) return false;
  return state->current->bytes_read_at_end == BytesRead(lws_get_socket_fd(wsi));
}

connection& EnsureConnection(lws* wsi) {
  if (ConnectionOf(wsi) == nullptr) {
    lws_set_opaque_user_data(wsi, new connection());
  }
  return *ConnectionOf(wsi);
}

/// @return false if the connection has to be closed
bool StartExchange(lws* wsi, std::string_view path) {
  const std::optional<size_t> length = ContentLength(wsi);
  // libwebsockets 4.1 loops forever over a body that it has buffered behind an
  // earlier request, so such a request is refused. No part of it has run.
  if (length.value_or(0) > 0 && IsPipelined(wsi)) {
    common::Metrics().Count("wisteria_pipelined_bodies_refused_total");
    return false;
  }
  const std::shared_ptr<exchange> started =
      std::make_shared<exchange>(wsi, *ServerOf(wsi));
  EnsureConnection(wsi).current = started;
  exchange& current = *started;
  current.request.method = MethodOf(wsi);
  current.request.path = path;
  current.request.query = QueryOf(wsi);
  current.head_only = current.request.method == "HEAD";
  CollectHeaders(wsi, &current.request);
  char peer[64];
  lws_get_peer_simple(wsi, peer, sizeof(peer));
  current.request.peer = peer;
  if (!length) {
    // Without a length the end of the body is unknown.
    current.request.length_missing = MayHaveBody(current.request.method);
    current.close_after = current.request.length_missing;
    Dispatch(wsi, started);
    return true;
  }
  current.request.body_too_large =
      *length > ServerOf(wsi)->limits().max_body_bytes;
  if (*length == 0) {
    Dispatch(wsi, started);
  } else {
    ScheduleBodyTimeout(wsi, started);
  }
  return true;
}

void AppendBody(lws* wsi, exchange* current, std::string_view data) {
  if (current->dispatched) return;
  const size_t limit = ServerOf(wsi)->limits().max_body_bytes;
  if (current->request.body.size() + data.size() > limit) {
    current->request.body_too_large = true;
    current->request.body.clear();
  }
  if (current->request.body_too_large) return;
  current->request.body.append(data);
}

void OnConnectionClosed(lws* wsi) {
  const std::unique_ptr<connection> state(ConnectionOf(wsi));
  lws_set_opaque_user_data(wsi, nullptr);
  if (state && state->current) state->current->Detach();
}

/// @return the exchange in progress on a connection, or null
std::shared_ptr<exchange> CurrentOf(lws* wsi) {
  const connection* state = ConnectionOf(wsi);
  return state == nullptr ? nullptr : state->current;
}

}  // namespace

int HttpServerCallback(lws* wsi, lws_callback_reasons reason, void*, void* in,
                       size_t length) {
  const std::string_view data(static_cast<const char*>(in), length);
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return StartExchange(wsi, data) ? 0 : -1;
    case LWS_CALLBACK_HTTP_BODY: {
      const std::shared_ptr<exchange> current = CurrentOf(wsi);
      if (current) AppendBody(wsi, current.get(), data);
      return 0;
    }
    case LWS_CALLBACK_HTTP_BODY_COMPLETION: {
      const std::shared_ptr<exchange> current = CurrentOf(wsi);
      if (current) Dispatch(wsi, current);
      return 0;
    }
    case LWS_CALLBACK_HTTP_WRITEABLE: {
      const std::shared_ptr<exchange> current = CurrentOf(wsi);
      return current ? current->OnWritable() : 0;
    }
    case LWS_CALLBACK_CLOSED_HTTP:
      OnConnectionClosed(wsi);
      return 0;
    case LWS_CALLBACK_OPENSSL_PERFORM_CLIENT_CERT_VERIFICATION:
      // The length is 1 if OpenSSL trusts the certificate; returning 0 would
      // accept the certificate in any case.
      return length == 1 ? 0 : 1;
    default:
      return 0;
  }
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
  std::unique_ptr<http_server> server(new http_server());
  server->loop_ = &loop;
  server->limits_ = chosen;
  server->on_request_ = std::move(on_request);
  server->on_channel_ = std::move(on_channel);
  server->vhost_name_ = chosen.address + ":" + std::to_string(chosen.port) +
                        "/" + std::to_string(lws_now_usecs());
  lws_context_creation_info info{};
  info.port = chosen.port;
  info.iface = chosen.address.c_str();
  info.protocols = ServerProtocols();
  info.vhost_name = server->vhost_name_.c_str();
  info.user = server.get();
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  info.keepalive_timeout = 60;
  info.timeout_secs = 60;
  if (chosen.tls.enabled()) {
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = chosen.tls.certificate_file.c_str();
    info.ssl_private_key_filepath = chosen.tls.key_file.c_str();
    info.alpn = "http/1.1";
    if (!chosen.tls.ca_file.empty()) {
      info.ssl_ca_filepath = chosen.tls.ca_file.c_str();
      info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
    }
  }
  for (int i = 0; i < kListenTries && server->vhost_ == nullptr; ++i) {
    // libwebsockets waits for an address that this VM does not have, without
    // reporting it, and does not try again if another process has the port.
    if (!CanListen({chosen.address, chosen.port})) return std::nullopt;
    server->vhost_ = lws_create_vhost(loop.context(), &info);
  }
  if (server->vhost_ == nullptr) {
    common::SetLastError(
        common::result_code::kBadSettings,
        "cannot serve on " + FormatEndpoint({chosen.address, chosen.port}));
    return std::nullopt;
  }
  server->port_ =
      static_cast<uint16_t>(lws_get_vhost_listen_port(server->vhost_));
  return server;
}

http_server::~http_server() {
  if (vhost_ != nullptr) lws_vhost_destroy(vhost_);
}

}  // namespace wisteriadale::net
