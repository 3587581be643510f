#include "gateway/forward_request.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "common/event_log.h"
#include "common/last_error.h"
#include "common/metrics.h"
#include "core/admission/request_rank.h"
#include "gateway/forward_headers.h"

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
constexpr double kMillisPerSecond = 1000;
// Longer than any route's timeout; larger values would overflow a duration.
constexpr double kMaxDeadlineSeconds = 1e6;
// Minimum Retry-After: routes are read within half a second of a start.
constexpr common::duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

}  // namespace

forward_request::forward_request(forwarder& owner,
                                 forward_dependencies& dependencies,
                                 std::shared_ptr<net::http1_exchange> exchange)
    : owner_(owner), deps_(dependencies), exchange_(std::move(exchange)) {}

forward_request::~forward_request() {
  deps_.loop.Cancel(timeout_timer_);
  deps_.loop.Cancel(resume_timer_);
  deps_.loop.Cancel(stage_timer_);
  deps_.slots.CancelWait(slot_wait_);
}

const std::string& forward_request::organisation_name() const {
  static const std::string kNone;
  return organisation_ == nullptr ? kNone : organisation_->name;
}

common::duration forward_request::RemainingTime() const {
  return deadline_ - deps_.clock.Now();
}

void forward_request::Start() {
  exchange_->SetDisconnectHandler([this] { OnCallerDisconnected(); });
  route_table_ = deps_.routes.current();
  if (!route_table_) {
    Respond({503, "Service Unavailable", "no configuration yet"},
            kNotReadyRetryAfter);
    return;
  }
  if (!FindRoute() || !FindOrganisation()) return;
  ParsePromptHeaders();
  if (RejectQuarantined()) return;
  ComputeDeadlines();
  if (RemainingTime() <= common::duration(0)) {
    RespondNotRun("its time was over before it was read");
    return;
  }
  if (RejectedByStop(deps_.stop.OnArrival(route_->name, deadline_))) return;
  deps_.retry_budget.OnRequest(service_);
  common::LogEvent(log_event::kRouted, request_id_,
                   {{"route", route_->name},
                    {"service", service_},
                    {"version", static_cast<int64_t>(route_table_->version())},
                    {"organisation", organisation_name()},
                    {"priority", int64_t{priority_}},
                    {"deadline_ms", common::ToMillis(RemainingTime())}});
  timeout_timer_ = deps_.loop.Schedule(
      std::max(RemainingTime(), common::duration(0)), [this] {
        timeout_timer_ = 0;
        Terminate();
      });
  if (!route_->stages.empty()) {
    if (!CreateStagePlan() || !AdmitStages()) return;
    AnnounceUpcomingStages();
    StartReadyStages();
    return;
  }
  StartAttempt();
}

bool forward_request::FindRoute() {
  const net::message_head& head = exchange_->head();
  const std::string* host = head.Find("Host");
  const std::string_view name = host == nullptr ? "" : HostWithoutPort(*host);
  route_ = route_table_->Find(name, PathWithoutQuery(head.target));
  if (route_ == nullptr) {
    Respond({404, "Not Found", "no route"}, common::duration(0));
    return false;
  }
  if (const std::string* id = head.Find(deps_.codec.headers().request_id)) {
    request_id_ = *id;
    exchange_->SetRequestId(request_id_);
  }
  uint64_t total = 0;
  for (const core::weighted_service& each : route_->services) {
    total += each.weight;
  }
  uint64_t pick = deps_.random.Below(total);
  for (const core::weighted_service& each : route_->services) {
    service_ = each.service;
    if (pick < each.weight) break;
    pick -= each.weight;
  }
  return true;
}

bool forward_request::FindOrganisation() {
  if (route_->is_public || !route_table_->needs_keys()) return true;
  const net::message_head& head = exchange_->head();
  const std::string& name = deps_.codec.headers().key;
  const std::string* key = head.Find(name);
  if (key != nullptr && head.Count(name) == 1) {
    organisation_ = route_table_->FindKey(*key);
  }
  if (organisation_ != nullptr) return true;
  Respond({401, "Unauthorized", "unknown key"}, common::duration(0));
  return false;
}

void forward_request::ComputeDeadlines() {
  const common::time_point received = exchange_->received_at();
  deadline_ = received + route_->timeout;
  const std::string* text =
      exchange_->head().Find(deps_.codec.headers().deadline_ms);
  const std::optional<double> requested_ms =
      text == nullptr ? std::nullopt : ParseNumber<double>(*text);
  objective_ = received + route_->objective;
  if (requested_ms && *requested_ms >= 0) {
    const common::duration caller_timeout = common::FromSeconds(
        std::min(*requested_ms / kMillisPerSecond, kMaxDeadlineSeconds));
    deadline_ = std::min(deadline_, received + caller_timeout);
    objective_ -= deps_.caller_retries.TimeSinceFirstRequest(
        route_->name, organisation_name(), caller_timeout);
  }
  start_by_ = deadline_;
  if (route_->patience.count() > 0) {
    start_by_ = std::min(start_by_, received + route_->patience);
  }
  priority_ = core::RequestRank(
      organisation_ == nullptr ? std::nullopt : organisation_->priority,
      route_->priority);
}

void forward_request::ParsePromptHeaders() {
  const core::header_names& names = deps_.codec.headers();
  const net::message_head& head = exchange_->head();
  if (const std::string* tokens = head.Find(names.prompt_tokens)) {
    const std::vector<std::string_view> parts = SplitCommaList(*tokens);
    if (!parts.empty()) {
      prompt_tokens_ = ParseNumber<uint32_t>(parts[0]).value_or(0);
    }
  }
  const std::string* part_list = head.Find(names.prompt_parts);
  if (part_list == nullptr) return;
  for (const std::string_view part : SplitCommaList(*part_list)) {
    const size_t colon = part.find(':');
    if (colon == std::string_view::npos) return;
    prompt_parts_.push_back(
        {std::string(part.substr(0, colon)),
         ParseNumber<uint32_t>(part.substr(colon + 1)).value_or(0)});
  }
}

core::selection_context forward_request::SelectionContext() const {
  core::selection_context context;
  context.service = service_;
  context.parts = prompt_parts_;
  context.prompt_tokens = prompt_tokens_;
  context.tried = tried_targets_;
  context.slots = &deps_.slots;
  context.statements = &deps_.statements;
  return context;
}

core::selection_context forward_request::SelectionContextWithInputs() const {
  core::selection_context context = SelectionContext();
  if (!plan_) return context;
  for (const core::data_centre_bytes& each :
       ResultLocations(plan_->FinalStages())) {
    context.input_bytes[each.data_centre] += each.bytes;
  }
  return context;
}

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
    RespondNotRun("the target has no valid address");
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
  if (relaying_ || response_not_run_ || !response_signed_) {
    ignored_bytes_ += data.size();
    if (ignored_bytes_ > kMaxIgnoredBytes) {
      FinishAttempt(response_not_run_ ? attempt_outcome::kNotRun
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
    exchange_->Abort();
    Conclude("cut", response_head_.status, target);
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
      RespondUnknownOutcome("lost at target " + target);
  }
}

void forward_request::ForwardResponse(const std::string& target) {
  net::response_framing framing{net::body_framing::kLength,
                                response_body_.size()};
  if (response_head_.framing == net::body_framing::kUntilClose) {
    framing.how = net::body_framing::kUntilClose;
  }
  if (exchange_->head().method == "HEAD") {
    framing.how = response_head_.content_length ? net::body_framing::kLength
                                                : net::body_framing::kNone;
    framing.length = response_head_.content_length.value_or(0);
  }
  exchange_->SendHead(response_head_.status, response_head_.reason,
                      EndToEndHeaders(response_head_), framing);
  exchange_->SendBody(response_body_);
  exchange_->Finish();
  Conclude(response_head_.status < 500 ? "complete" : "failed",
           response_head_.status, target);
}

void forward_request::RespondNotRun(std::string_view why) {
  Respond({503, "Service Unavailable", why}, RetryAfter());
}

void forward_request::RespondUnknownOutcome(std::string_view why) {
  Respond({502, "Bad Gateway", why}, common::duration(0));
}

void forward_request::Respond(const local_response& response,
                              common::duration retry_after) {
  std::vector<net::http_header> headers;
  headers.push_back({"Content-Type", "text/plain"});
  if (retry_after.count() > 0) {
    std::array<char, 16> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.2f",
                  std::chrono::duration<double>(retry_after).count());
    headers.push_back({"Retry-After", seconds.data()});
  }
  exchange_->Send(response.status, response.reason, headers, response.text);
  Conclude(response.text, response.status, "");
}

void forward_request::Conclude(std::string_view outcome, int status,
                               std::string_view target) {
  const common::time_point now = deps_.clock.Now();
  const common::duration elapsed = now - exchange_->received_at();
  const std::string_view route =
      route_ == nullptr ? std::string_view() : std::string_view(route_->name);
  const std::string status_text = std::to_string(status);
  common::Metrics().Count("wisteria_requests_total",
                          {{"route", route}, {"status", status_text}});
  common::Metrics().Observe("wisteria_request_seconds", elapsed,
                            {{"route", route}});
  common::LogEvent(
      log_event::kAnswered, request_id_,
      {{"status", int64_t{status}},
       {"outcome", outcome},
       {"route", route},
       {"target", target},
       {"framing", net::ToString(response_head_.framing)},
       {"attempts", int64_t{attempts_}},
       {"may_have_run", may_have_run_},
       {"late", late_},
       {"to_objective_ms",
        common::ToMillis(objective_ - exchange_->received_at())},
       {"head_ms", head_at_ == common::time_point()
                       ? int64_t{-1}
                       : common::ToMillis(head_at_ - exchange_->received_at())},
       {"took_ms", common::ToMillis(elapsed)}});
  End();
}

void forward_request::Terminate() {
  const bool was_sent = call_ && call_->sent();
  EndAttempt(attempt_outcome::kTimedOut);
  if (relaying_) {
    exchange_->Abort();
    Conclude("cut off by a timeout", response_head_.status, "");
    return;
  }
  if (was_sent || may_have_run_) {
    Respond({504, "Gateway Timeout", "no response in time"},
            common::duration(0));
  } else {
    RespondNotRun("timed out before the request was sent");
  }
}

void forward_request::OnCallerDisconnected() {
  caller_disconnected_ = true;
  common::Metrics().Count("wisteria_callers_left_total");
  // A non-idempotent request that was sent is left to finish: its effect may be
  // wanted, and cancelling it would leave the outcome in doubt.
  const bool keep_running =
      route_ != nullptr && route_->kind == core::request_kind::kNonIdempotent &&
      call_ && call_->sent();
  common::LogEvent(log_event::kCancelled, request_id_,
                   {{"took_ms", common::ToMillis(deps_.clock.Now() -
                                                 exchange_->received_at())},
                    {"sent", call_ && call_->sent()},
                    {"left_to_end", keep_running}});
  if (keep_running) return;
  End();
}

void forward_request::End() {
  EndAttempt(attempt_outcome::kCancelled);
  DiscardStages();
  exchange_->SetDisconnectHandler(nullptr);
  owner_.Remove(this);
}

}  // namespace wisteriadale::gateway
