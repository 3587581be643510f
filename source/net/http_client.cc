#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include "common/metrics.h"
#include "net/lws_protocols.h"

namespace wisteriadale::net {
namespace {

constexpr size_t kReadBytes = size_t{8} * 1024;

class transfer;

// Keeps each transfer alive while libwebsockets holds a pointer to it.
std::unordered_map<transfer*, std::shared_ptr<transfer>>& Live() {
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
    timeout_ = loop_.Schedule(call_.timeout, [this] {
      timeout_ = 0;
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
    const bool told = !call_.body.empty() || call_.method != "GET";
    if (told && !AddHeader("content-length:", size, p, end)) return -1;
    if (call_.body.empty()) return 0;
    lws_client_http_body_pending(wsi_, 1);
    lws_callback_on_writable(wsi_);
    return 0;
  }

  int WriteBody() {
    if (body_sent_ == call_.body.size()) return 0;
    constexpr size_t kPiece = size_t{16} * 1024;
    const size_t size = std::min(kPiece, call_.body.size() - body_sent_);
    const bool last = body_sent_ + size == call_.body.size();
    std::array<unsigned char, LWS_PRE + kPiece> buffer;
    std::copy_n(call_.body.data() + body_sent_, size, buffer.data() + LWS_PRE);
    if (last) lws_client_http_body_pending(wsi_, 0);
    const int sent = lws_write(wsi_, buffer.data() + LWS_PRE, size,
                               last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    if (sent < 0) return -1;
    body_sent_ += size;
    if (!last) lws_callback_on_writable(wsi_);
    return 0;
  }

  void Established() {
    result_.status = static_cast<int>(lws_http_client_http_response(wsi_));
    ExpectProgress(call_.idle_timeout);
  }

  void Receive(std::string_view data) {
    last_progress_us_ = lws_now_usecs();
    if (on_chunk_) {
      on_chunk_(data);
    } else {
      result_.body.append(data);
    }
  }

  void Completed() {
    result_.complete = true;
    End("");
  }

  /// Ends the transfer; the connection, if any, is dropped.
  void End(std::string_view failure) {
    if (ended_) return;
    ended_ = true;
    loop_.Cancel(timeout_);
    loop_.Cancel(progress_timer_);
    timeout_ = 0;
    progress_timer_ = 0;
    result_.failure = failure;
    if (wsi_ != nullptr) {
      lws_set_wsi_user(wsi_, nullptr);
      lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
      wsi_ = nullptr;
    }
    // Callers may not expect an answer before StartHttpCall returns.
    loop_.Schedule(common::duration(0), [this] {
      const auto found = Live().find(this);
      const std::shared_ptr<transfer> self = found->second;
      Live().erase(found);
      if (on_done_) on_done_(result_);
    });
  }

  /// Ends the call if nothing arrives within a bound; 0 means no bound.
  void ExpectProgress(common::duration bound) {
    loop_.Cancel(progress_timer_);
    progress_timer_ = 0;
    last_progress_us_ = lws_now_usecs();
    if (bound.count() > 0) CheckProgressAfter(bound, bound);
  }

  void Forget() { wsi_ = nullptr; }

  /// Calls no handler any more and leaves the connection to its context.
  void Drop() {
    ended_ = true;
    on_done_ = nullptr;
    on_chunk_ = nullptr;
    if (wsi_ != nullptr) lws_set_wsi_user(wsi_, nullptr);
    wsi_ = nullptr;
  }

  const lws_context* context() const { return loop_.context(); }

 private:
  // One timer for many pieces: it is moved only when it fires.
  void CheckProgressAfter(common::duration delay, common::duration bound) {
    progress_timer_ = loop_.Schedule(delay, [this, bound] {
      progress_timer_ = 0;
      const common::duration quiet(lws_now_usecs() - last_progress_us_);
      if (quiet >= bound) {
        common::Metrics().Count("wisteria_calls_silent_total");
        End("silent");
        return;
      }
      CheckProgressAfter(bound - quiet, bound);
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
  http_result result_;
  bool ended_ = false;
  common::timer_id timeout_ = 0;
  common::timer_id progress_timer_ = 0;
  int64_t last_progress_us_ = 0;
};

int ReadBody(lws* wsi) {
  std::array<char, LWS_PRE + kReadBytes> buffer;
  char* p = buffer.data() + LWS_PRE;
  int length = kReadBytes;
  return lws_http_client_read(wsi, &p, &length) < 0 ? -1 : 0;
}

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
      current->Established();
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return ReadBody(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      current->Receive({static_cast<const char*>(in), length});
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      current->Completed();
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR: {
      const char* text = static_cast<const char*>(in);
      current->Forget();
      current->End(text == nullptr ? "connection failed" : text);
      return 0;
    }
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      current->Forget();
      current->End("connection closed");
      return 0;
    default:
      return 0;
  }
}

void DropCallHandlers(const lws_context* context) {
  for (auto at = Live().begin(); at != Live().end();) {
    if (at->second->context() != context) {
      ++at;
      continue;
    }
    at->second->Drop();
    at = Live().erase(at);
  }
}

std::shared_ptr<http_transfer> StartHttpCall(
    event_loop& loop, http_call call,
    std::function<void(const http_result&)> on_done,
    std::function<void(std::string_view)> on_chunk) {
  const std::shared_ptr<transfer> started = std::make_shared<transfer>(
      loop, std::move(call), std::move(on_done), std::move(on_chunk));
  Live().emplace(started.get(), started);
  started->Connect();
  return started;
}

}  // namespace wisteriadale::net
