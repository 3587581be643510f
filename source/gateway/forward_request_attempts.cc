// Sends a request to targets, one after the other, until one has answered it or
// no other may try.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "gateway/forward_headers.h"
#include "gateway/forward_request.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;
using core::attempt_outcome;
using core::next_step;

// A response up to this size is buffered until it is complete, so that a
// truncated one can be replaced by a retry at another target.
constexpr size_t kMaxBufferedBytes = size_t{1} << 20;
// A longer response that is not forwarded is not read to its end.
constexpr size_t kMaxIgnoredBytes = size_t{64} * 1024;
// No attempt is started with less remaining time: the target could not respond
// within it.
constexpr common::duration kMinAttemptTime = std::chrono::milliseconds(10);
// Each dial takes up to 0.3 s, so failed dials cost about a second in total.
constexpr uint32_t kMaxFailedDials = 4;

}  // namespace

void forward_request::StartAttempt() {
  // Under load the event loop reports a closed connection late.
  if (exchange_->CallerDisconnected()) {
    OnCallerDisconnected();
    return;
  }
  // The quarantine may have begun while the stages ran.
  if (plan_ && attempts_ == 0 && RejectQuarantined()) return;
  if (!relaying_ &&
      RejectedByStop(deps_.stop.BeforeAttempt(route_->name, deadline_))) {
    return;
  }
  const core::target_choice choice =
      deps_.selector.Choose(SelectionContextWithInputs());
  if (choice.back_off_left.count() > 0) NoteSlotDelay(choice.back_off_left);
  // A healthy target with a limit goes before an ejected one without.
  const bool waits_if_limited = !choice.target || choice.ejected;
  if (choice.limited && waits_if_limited && WaitForSlot(*choice.limited)) {
    return;
  }
  if (!choice.target) {
    RespondNoTarget();
    return;
  }
  if (choice.limited && !waits_if_limited) {
    deps_.slots.Want(choice.limited->entry);
  }
  target_ = choice.target;
  const common::duration remaining = RemainingTime();
  net::outgoing_request request;
  const std::optional<net::endpoint> target_address =
      net::ParseEndpoint(target_->entry.address);
  if (!target_address) {
    target_.reset();
    RespondNoTarget();
    return;
  }
  request.to = *target_address;
  request.method = exchange_->head().method;
  request.target = exchange_->head().target;
  request.headers = ForwardedHeaders(*target_, remaining);
  request.body = exchange_->body();
  if (!request_id_.empty()) {
    request.echo_header = deps_.codec.headers().request_id;
    request.echo_value = request_id_;
  }
  // Without an id, a late copy of an earlier response on the connection could
  // not be told from the response to this request.
  request.reuse_connection = IsRetryable() && !request_id_.empty();
  RecordAttemptStart(remaining);
  call_ = deps_.client.Start(request, *this);
}

void forward_request::RecordAttemptStart(common::duration remaining) {
  tried_targets_.push_back(target_->entry.id);
  ++attempts_;
  attempt_started_ = deps_.clock.Now();
  deps_.slots.Use(target_->entry);
  target_->in_flight += 1;
  const uint32_t cached_tokens =
      deps_.selector.hints().HeldTokens(target_->entry.id, prompt_parts_);
  outstanding_tokens_ =
      prompt_tokens_ > cached_tokens ? prompt_tokens_ - cached_tokens : 0;
  target_->outstanding_tokens += outstanding_tokens_;
  deps_.selector.hints().NoteSent(target_->entry.id, prompt_parts_);
  response_head_ = net::message_head();
  response_body_.clear();
  ignored_bytes_ = 0;
  response_not_run_ = response_signed_ = inputs_missing_ = false;
  failure_.reset();
  common::LogEvent(
      log_event::kSent, request_id_,
      {{"target", target_->entry.id},
       {"service", service_},
       {"attempt", int64_t{attempts_}},
       {"in_flight", int64_t{target_->in_flight}},
       {"prompt_tokens", int64_t{prompt_tokens_}},
       {"held_tokens", int64_t{cached_tokens}},
       {"resting", target_->ejected_until > deps_.clock.Now()},
       {"after_event", std::string_view(filter_.last_id().value_or(""))},
       {"left_ms", common::ToMillis(remaining)},
       {"since_ms",
        common::ToMillis(deps_.clock.Now() - exchange_->received_at())}});
}

std::vector<net::http_header> forward_request::ForwardedHeaders(
    const core::fleet_target& target, common::duration remaining) const {
  const core::header_names& names = deps_.codec.headers();
  const net::message_head& head = exchange_->head();
  std::vector<net::http_header> headers;
  headers.reserve(head.headers.size() + 4);
  const bool resuming = relaying_ && filter_.last_id().has_value();
  for (const net::http_header& header : head.headers) {
    if (IsHopByHopHeader(header.name, head)) continue;
    if (net::SameName(header.name, names.deadline_ms)) continue;
    if (resuming && net::SameName(header.name, names.last_event_id)) continue;
    const bool reserved =
        std::any_of(names.reserved.begin(), names.reserved.end(),
                    [&](const std::string& name) {
                      return net::SameName(header.name, name);
                    });
    if (!reserved) headers.push_back(header);
  }
  const int64_t left_ms = std::max<int64_t>(1, common::ToMillis(remaining));
  headers.push_back({names.deadline_ms, std::to_string(left_ms)});
  headers.push_back({names.expected_target, target.entry.id});
  if (organisation_ != nullptr) {
    headers.push_back({names.organisation, organisation_->name});
  }
  if (!inputs_.empty()) {
    std::string list;
    for (const std::string& handle : inputs_) {
      if (!list.empty()) list.push_back(',');
      list.append(handle);
    }
    headers.push_back({names.inputs, std::move(list)});
  }
  if (resuming) headers.push_back({names.last_event_id, *filter_.last_id()});
  return headers;
}

void forward_request::OnHead(const net::message_head& head) {
  response_head_ = head;
  head_at_ = deps_.clock.Now();
  const core::deployment_codec& codec = deps_.codec;
  const bool has_not_run_header = head.Find(codec.headers().not_run) != nullptr;
  response_not_run_ = codec.IndicatesNotRun(head.status, has_not_run_header);
  inputs_missing_ =
      codec.IndicatesMissingInputs(head.status, has_not_run_header);
  response_signed_ = head.Find(deps_.codec.headers().signature) != nullptr;
  ObserveStatements();
  if (!codec.IndicatesMisdirected(head.status)) {
    deps_.crash_watch.OnTargetAnswered(target_->entry.id, attempt_started_);
  }
  target_->outstanding_tokens -= outstanding_tokens_;
  outstanding_tokens_ = 0;
  if (!Succeeded()) return;
  deps_.first_events.OnFirstEvent(service_, prompt_tokens_,
                                  head_at_ - attempt_started_);
  may_have_run_ = true;
  if (route_->kind == core::request_kind::kStreaming) {
    // The target fetches its inputs before it starts to respond.
    DiscardStages();
    if (!relaying_) StartRelay(head);
  }
}

void forward_request::OnBody(std::string_view data) {
  if (relaying_ && (!streaming_events_ || ContinuesStream())) {
    RelayBody(data);
    return;
  }
  // Only responses signed by the target are forwarded, including its failures.
  const bool unstated_promise = IsUnstatedPromise();
  if (relaying_ || response_not_run_ || !response_signed_ || unstated_promise) {
    ignored_bytes_ += data.size();
    if (ignored_bytes_ > kMaxIgnoredBytes) {
      FinishAttempt(response_not_run_  ? attempt_outcome::kNotRun
                    : unstated_promise ? attempt_outcome::kFailed
                                       : attempt_outcome::kLost);
    }
    return;
  }
  response_body_.append(data);
  exchange_->SetBuffered(response_body_.size());
  if (response_body_.size() <= kMaxBufferedBytes) {
    ApplyBackpressure();
    return;
  }
  // Too large to buffer.
  StartRelay(response_head_);
  exchange_->SendBody(std::exchange(response_body_, {}));
  exchange_->SetBuffered(0);
}

bool forward_request::Succeeded() const {
  return response_head_.status / 100 == 2 && response_signed_ &&
         !response_not_run_;
}

bool forward_request::IsUnstatedPromise() const {
  return !IsRetryable() && response_signed_ && !response_not_run_ &&
         deps_.codec.PromisesNotRun(response_head_.status);
}

bool forward_request::ContinuesStream() const {
  return Succeeded() && IsEventStream(response_head_);
}

void forward_request::OnComplete() {
  if (response_not_run_) {
    FinishAttempt(attempt_outcome::kNotRun);
    return;
  }
  if (!response_signed_) {
    FinishAttempt(attempt_outcome::kLost);
    return;
  }
  if (streaming_events_ && Succeeded() &&
      (!ContinuesStream() || filter_.WithinEvent())) {
    FinishAttempt(attempt_outcome::kLost);
    return;
  }
  // The end of a connection says that a response is complete only to callers
  // that get it in the same framing.
  if (relaying_ && response_head_.framing == net::body_framing::kUntilClose &&
      relay_framing_ != net::body_framing::kUntilClose) {
    FinishAttempt(attempt_outcome::kUnconfirmed);
    return;
  }
  // A failure too large to buffer has been relayed already.
  const bool already_relayed = relaying_ && !streaming_events_;
  if (!Succeeded() && !already_relayed) {
    FinishAttempt(attempt_outcome::kFailed);
    return;
  }
  const common::time_point now = deps_.clock.Now();
  deps_.stop.OnComplete(route_->name, now - exchange_->received_at(),
                        now - attempt_started_);
  const std::string target = target_->entry.id;
  EndAttempt(attempt_outcome::kAnswered);
  if (relaying_) {
    if (streaming_events_ && !filter_.rest().empty()) {
      exchange_->SendBody(filter_.rest());
    }
    exchange_->Finish();
    Conclude("complete", response_head_.status, target);
    return;
  }
  ForwardResponse(target);
}

void forward_request::OnFailure(net::call_failure failure) {
  failure_ = failure;
  FinishAttempt(failure == net::call_failure::kNotSent
                    ? attempt_outcome::kNotSent
                    : attempt_outcome::kLost);
}

void forward_request::ReleaseTarget() {
  if (!target_) return;
  target_->in_flight -= 1;
  target_->outstanding_tokens -= outstanding_tokens_;
  outstanding_tokens_ = 0;
  target_.reset();
  call_.reset();
}

core::attempt_context forward_request::ContextAfter(
    attempt_outcome outcome) const {
  core::attempt_context context;
  context.end = outcome;
  context.retryable = IsRetryable();
  context.may_have_run = may_have_run_;
  context.unstated_promise = IsUnstatedPromise();
  context.attempts = attempts_;
  context.max_attempts = route_->max_attempts;
  context.time_left =
      RemainingTime() > kMinAttemptTime && !caller_disconnected_;
  context.targets_left =
      failed_dials_ < kMaxFailedDials &&
      deps_.targets.Pool(service_).size() > tried_targets_.size();
  // Another target would return the same client error.
  const bool client_error =
      outcome == attempt_outcome::kFailed && response_head_.status < 500;
  context.budget_left = !client_error;
  if (RemainingQuarantine().count() > 0) context.targets_left = false;
  // Only a stream of events can continue with the response of another target.
  if (relaying_ && !streaming_events_) context.targets_left = false;
  // Stage results are released once a target has started to respond, so that a
  // retry would lack its inputs.
  if (!inputs_.empty() && !plan_ && !relaying_) context.targets_left = false;
  return context;
}

void forward_request::FinishAttempt(attempt_outcome outcome) {
  const std::string target = target_->entry.id;
  EndAttempt(outcome);
  if (outcome == attempt_outcome::kNotSent) {
    --attempts_;
    ++failed_dials_;
  }
  if (outcome == attempt_outcome::kLost ||
      outcome == attempt_outcome::kUnconfirmed ||
      outcome == attempt_outcome::kFailed) {
    may_have_run_ = true;
  }
  if (inputs_missing_ && !relaying_ && MayRestartStages()) {
    tried_targets_.clear();
    RestartStages();
    return;
  }
  core::attempt_context context = ContextAfter(outcome);
  const bool wants_retry = DecideNextStep(context) == next_step::kRetry &&
                           outcome != attempt_outcome::kNotSent;
  if (wants_retry) {
    context.budget_left = deps_.retry_budget.TryAcquire(service_);
  }
  const next_step next = DecideNextStep(context);
  common::LogEvent(
      log_event::kAttemptEnded, request_id_,
      {{"target", target},
       {"end", core::ToString(outcome)},
       {"status", int64_t{response_head_.status}},
       {"framing", net::ToString(response_head_.framing)},
       {"failure", failure_ ? net::ToString(*failure_) : std::string_view()},
       {"within_event", filter_.WithinEvent()},
       {"last_event", std::string_view(filter_.last_id().value_or(""))},
       {"attempts", int64_t{attempts_}},
       {"may_have_run", may_have_run_},
       {"budget_left", context.budget_left},
       {"next", core::ToString(next)}});
  if (next == next_step::kRetry) {
    filter_.Restart();
    StartAttempt();
    return;
  }
  if (relaying_) {
    // The body of a failure behind a head that was relayed is not kept.
    if (AbandonRelay()) {
      RespondUnknownOutcome("lost at target " + target);
    } else {
      Conclude("cut", response_head_.status, target);
    }
    return;
  }
  switch (next) {
    case next_step::kForwardFailure:
      ForwardResponse(target);
      break;
    case next_step::kNotRun:
      RespondNotRun("refused by target " + target);
      break;
    default:
      RespondUnknownOutcome((outcome == attempt_outcome::kFailed
                                 ? "failed at target "
                                 : "lost at target ") +
                            target);
  }
}

}  // namespace wisteriadale::gateway
