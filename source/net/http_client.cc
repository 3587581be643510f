#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <unordered_map>

#include "common/metrics.h"
#include "net/lws_protocols.h"
#include "net/message_too_large.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kReadBytes = size_t{8} * 1024;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

class transfer;

// Keeps each transfer alive while libwebsockets holds a pointer to it.
std::unordered_map<transfer*, std::shared_ptr<transfer>>& LiveTransfers() {
  static std::unordered_map<transfer*, std::shared_ptr<transfer>> live;
  return live;
}

class transfer final : public http_transfer {
 public:
  transfer(event_loop& loop, http_call call,
           std::function<void(const http_result&)> on_done,
           std::function<void(std::string_view)> on_chunk)
      : loop_(loop),
        call_(std::move(call)),
        on_done_(std::move(on_done)),
        on_chunk_(std::move(on_chunk)) {}

  void Connect() {
    timeout_timer_ = loop_.Schedule(call_.timeout, [this] {
      timeout_timer_ = 0;
      End("timeout");
    });
    ExpectProgress(call_.first_byte_timeout);
    lws_client_connect_info info{};
    info.context = loop_.context();
    info.vhost = loop_.client_vhost();
    info.address = call_.to.address.c_str();
    info.host = call_.to.address.c_str();
    info.origin = call_.to.address.c_str();
    info.port = call_.to.port;
    info.path = call_.path.c_str();
    info.method = call_.method.c_str();
    info.local_protocol_name = kHttpClientProtocol;
    info.alpn = "http/1.1";
    info.userdata = this;
    info.pwsi = &wsi_;
    if (call_.tls) {
      info.ssl_connection =
          LCCSCF_USE_SSL | LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    }
    if (lws_client_connect_via_info(&info) == nullptr) {
      wsi_ = nullptr;
      End("cannot connect");
    }
  }

  void Cancel() override {
    on_done_ = nullptr;
    on_chunk_ = nullptr;
    End("cancelled");
  }

  int AddHeaders(unsigned char** p, unsigned char* end) {
    result_.connected = true;
    for (const http_header& header : call_.headers) {
      if (!AddHeader(header.name + ":", header.value, p, end)) return -1;
    }
    const std::string size = std::to_string(call_.body.size());
    const bool has_length = !call_.body.empty() || call_.method != "GET";
    if (has_length && !AddHeader("content-length:", size, p, end)) return -1;
    if (call_.body.empty()) return 0;
    lws_client_http_body_pending(wsi_, 1);
    lws_callback_on_writable(wsi_);
    return 0;
  }

  int WriteBody() {
    if (body_sent_ == call_.body.size()) return 0;
    constexpr size_t kPieceBytes = size_t{16} * 1024;
    const size_t size = std::min(kPieceBytes, call_.body.size() - body_sent_);
    const bool last = body_sent_ + size == call_.body.size();
    std::array<unsigned char, LWS_PRE + kPieceBytes> buffer;
    std::copy_n(call_.body.data() + body_sent_, size, buffer.data() + LWS_PRE);
    if (last) lws_client_http_body_pending(wsi_, 0);
    const int sent = lws_write(wsi_, buffer.data() + LWS_PRE, size,
                               last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (sent < 0) return -1;
    body_sent_ += size;
    if (!last) lws_callback_on_writable(wsi_);
    return 0;
  }

  void OnEstablished() {
    result_.status = static_cast<int>(lws_http_client_http_response(wsi_));
    if (!IsValidStatus(result_.status)) {
      End("the status of the response is invalid");
      return;
    }
    std::array<char, 32> length{};
    if (lws_hdr_copy(wsi_, length.data(), static_cast<int>(length.size()),
                     WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
      length_ = std::strtoull(length.data(), nullptr, 10);
    }
    chunked_ = lws_hdr_total_length(wsi_, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
    ExpectProgress(call_.idle_timeout);
  }

  int ReadBody(lws* wsi) {
    std::array<char, LWS_PRE + kReadBytes> buffer;
    char* const start = buffer.data() + LWS_PRE;
    char* p = start;
    int length = kReadBytes;
    unread_ = start;
    next_byte_ = &p;
    const int result = lws_http_client_read(wsi, &p, &length);
    next_byte_ = nullptr;
    return result < 0 ? -1 : 0;
  }

  void OnBody(std::string_view data) {
    if (ended_) return;
    last_progress_us_ = lws_now_usecs();
    received_ += data.size();
    if (on_chunk_) {
      on_chunk_(data);
    } else if (received_ > call_.max_body_bytes) {
      ReportTooLarge("response",
                     {message_part::kBody, received_, call_.max_body_bytes}, "",
                     FormatEndpoint(call_.to));
      result_.body.clear();
      result_.body.shrink_to_fit();
      End("the body of the response is too large");
    } else {
      result_.body.append(data);
    }
  }

  void OnCompleted() {
    // libwebsockets also reports a closed connection as the end of a response
    // without a length. Only the last chunk ends it while bytes are decoded.
    const bool decoding = next_byte_ != nullptr && *next_byte_ != unread_;
    const bool no_body = result_.status == kStatusNoContent ||
                         result_.status == kStatusNotModified ||
                         call_.method == "HEAD";
    result_.complete =
        no_body || (length_ ? *length_ == received_ : chunked_ && decoding);
    End(result_.complete ? "" : "the connection ended within the response");
  }

  /// Ends the transfer and closes its connection, if any.
  void End(std::string_view failure) {
    if (ended_) return;
    ended_ = true;
    loop_.Cancel(timeout_timer_);
    loop_.Cancel(progress_timer_);
    timeout_timer_ = 0;
    progress_timer_ = 0;
    result_.failure = failure;
    if (wsi_ != nullptr) {
      lws_set_wsi_user(wsi_, nullptr);
      lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      wsi_ = nullptr;
    }
    // The caller may not expect a result before StartHttpCall returns.
    loop_.Schedule(common::duration(0), [this] {
      const auto found = LiveTransfers().find(this);
      const std::shared_ptr<transfer> self = found->second;
      LiveTransfers().erase(found);
      if (on_done_) on_done_(result_);
    });
  }

  /// Ends the call if nothing arrives within a time limit; 0 means no limit.
  void ExpectProgress(common::duration limit) {
    loop_.Cancel(progress_timer_);
    progress_timer_ = 0;
    last_progress_us_ = lws_now_usecs();
    if (limit.count() > 0) CheckProgressAfter(limit, limit);
  }

  void DetachConnection() { wsi_ = nullptr; }

  /// Drops the handlers and leaves the connection for its context to close.
  void Drop() {
    ended_ = true;
    on_done_ = nullptr;
    on_chunk_ = nullptr;
    if (wsi_ != nullptr) lws_set_wsi_user(wsi_, nullptr);
    wsi_ = nullptr;
  }

  const lws_context* context() const { return loop_.context(); }

 private:
  // One timer for many pieces: it is rescheduled only when it fires.
  void CheckProgressAfter(common::duration delay, common::duration limit) {
    progress_timer_ = loop_.Schedule(delay, [this, limit] {
      progress_timer_ = 0;
      const common::duration elapsed(lws_now_usecs() - last_progress_us_);
      if (elapsed >= limit) {
        common::Metrics().Count("wisteria_calls_silent_total");
        End("silent");
        return;
      }
      CheckProgressAfter(limit - elapsed, limit);
    });
  }

  bool AddHeader(const std::string& name, std::string_view value,
                 unsigned char** p, unsigned char* end) {
    return lws_add_http_header_by_name(
               wsi_, reinterpret_cast<const unsigned char*>(name.c_str()),
               reinterpret_cast<const unsigned char*>(value.data()),
               static_cast<int>(value.size()), p, end) == 0;
  }

  event_loop& loop_;
  http_call call_;
  std::function<void(const http_result&)> on_done_;
  std::function<void(std::string_view)> on_chunk_;
  lws* wsi_ = nullptr;
  size_t body_sent_ = 0;
  std::optional<uint64_t> length_;  ///< of the response's body, if it has one
  uint64_t received_ = 0;           ///< bytes of the response's body
  bool chunked_ = false;            ///< the response's body is
  /// Set while libwebsockets reads a body: the start of the bytes read, and the
  /// next one that it decodes.
  const char* unread_ = nullptr;
  char** next_byte_ = nullptr;
  http_result result_;
  bool ended_ = false;
  common::timer_id timeout_timer_ = 0;
  common::timer_id progress_timer_ = 0;
  int64_t last_progress_us_ = 0;
};

}  // namespace

int HttpClientCallback(lws* wsi, lws_callback_reasons reason, void* user,
                       void* in, size_t length) {
  if (reason == LWS_CALLBACK_WSI_DESTROY) {
    ChannelDestroyed(wsi, user);
    return 0;
  }
  transfer* current = static_cast<transfer*>(user);
  if (current == nullptr) {
    return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ? -1 : 0;
  }
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      unsigned char** p = static_cast<unsigned char**>(in);
      return current->AddHeaders(p, *p + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return current->WriteBody();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      current->OnEstablished();
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return current->ReadBody(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      current->OnBody({static_cast<const char*>(in), length});
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      current->OnCompleted();
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR: {
      const char* text = static_cast<const char*>(in);
      current->DetachConnection();
      current->End(text == nullptr ? "connection failed" : text);
      return 0;
    }
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      current->DetachConnection();
      current->End("connection closed");
      return 0;
    default:
      return 0;
  }
}

void DropCallHandlers(const lws_context* context) {
  for (auto at = LiveTransfers().begin(); at != LiveTransfers().end();) {
    if (at->second->context() != context) {
      ++at;
      continue;
    }
    at->second->Drop();
    at = LiveTransfers().erase(at);
  }
}

std::shared_ptr<http_transfer> StartHttpCall(
    event_loop& loop, http_call call,
    std::function<void(const http_result&)> on_done,
    std::function<void(std::string_view)> on_chunk) {
  const std::shared_ptr<transfer> started = std::make_shared<transfer>(
      loop, std::move(call), std::move(on_done), std::move(on_chunk));
  LiveTransfers().emplace(started.get(), started);
  started->Connect();
  return started;
}

}  // namespace wisteriadale::net
