// Passes the response of a target on to the caller while it arrives.

#include <utility>

#include "gateway/forward_headers.h"
#include "gateway/forward_request.h"

namespace wisteriadale::gateway {
namespace {

using core::attempt_outcome;

// A longer event is not read to its end.
constexpr size_t kMaxEventBytes = size_t{1} << 20;
// Unread response bytes at which reading from the target is paused until the
// caller catches up.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
// The same while the process holds too much for others.
constexpr size_t kMinPendingBytes = size_t{16} * 1024;
// Interval at which a paused response is checked.
constexpr common::duration kPendingCheckPeriod = std::chrono::milliseconds(20);

}  // namespace

void forward_request::StartRelay(const net::message_head& head) {
  relaying_ = true;
  streaming_events_ = route_->kind == core::request_kind::kStreaming &&
                      Succeeded() && IsEventStream(head);
  const std::vector<net::http_header> headers = EndToEndHeaders(head);
  relay_framing_ = head.framing;
  // The length of a stream that may be resumed is not known.
  if (relay_framing_ == net::body_framing::kLength && streaming_events_ &&
      IsRetryable()) {
    relay_framing_ = net::body_framing::kChunked;
  }
  exchange_->SendHead(head.status, head.reason, headers,
                      {relay_framing_, head.content_length.value_or(0)});
}

void forward_request::RelayBody(std::string_view data) {
  if (!streaming_events_) {
    exchange_->SendBody(data);
  } else {
    const std::string complete_events = filter_.Feed(data);
    if (!complete_events.empty()) exchange_->SendBody(complete_events);
    if (filter_.rest().size() > kMaxEventBytes) {
      FinishAttempt(attempt_outcome::kLost);
      return;
    }
  }
  ApplyBackpressure();
}

bool forward_request::AbandonRelay() {
  relaying_ = streaming_events_ = false;
  if (exchange_->RetractHead()) return true;
  exchange_->Abort();
  return false;
}

void forward_request::ApplyBackpressure() {
  if (resume_timer_ != 0 || MayReadOn()) return;
  if (call_) call_->Pause();
  resume_timer_ = deps_.loop.Schedule(kPendingCheckPeriod, [this] {
    resume_timer_ = 0;
    if (!MayReadOn()) {
      ApplyBackpressure();
    } else if (call_) {
      call_->Resume();
    }
  });
}

bool forward_request::MayReadOn() const {
  const size_t pending = exchange_->PendingBytes();
  if (pending >= kMaxPendingBytes) return false;
  return pending + response_body_.size() < kMinPendingBytes ||
         exchange_->MayBuffer();
}

}  // namespace wisteriadale::gateway
