#include "gateway/forward_request.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "common/digest.h"
#include "common/event_log.h"
#include "common/last_reason.h"
#include "common/metrics.h"
#include "gateway/forward_headers.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;
using core::attempt_outcome;
using core::next_step;

// A whole answer up to this size is held until it is complete, so that a cut
// one can be replaced by another target's.
constexpr size_t kMostHeldBytes = size_t{1} << 20;
// A caller that does not read holds up its target from here on.
constexpr size_t kMostPendingBytes = size_t{256} * 1024;
constexpr common::duration kPendingCheck = std::chrono::milliseconds(20);
// No attempt begins with less time than this: a target could not answer.
constexpr common::duration kLeastTime = std::chrono::milliseconds(10);
// Dials of 0.3 s at most: together about a second.
constexpr uint32_t kMostFailedDials = 4;
constexpr double kMillisPerSecond = 1000;
// Beyond any route's bound; a longer one would not fit a duration.
constexpr double kLongestDeadlineSeconds = 1e6;
// When a caller should come back at the earliest: routes are read within half a
// second of a start; a full target has had some requests' time.
constexpr common::duration kNotReadyReturn = std::chrono::milliseconds(500);
constexpr common::duration kRefusedReturn = std::chrono::milliseconds(200);

}  // namespace

forward_request::forward_request(forwarder& owner,
                                 forward_dependencies& dependencies,
                                 std::shared_ptr<net::http1_exchange> exchange)
    : owner_(owner),
      dependencies_(dependencies),
      exchange_(std::move(exchange)) {}

forward_request::~forward_request() {
  dependencies_.loop.Cancel(timeout_timer_);
  dependencies_.loop.Cancel(resume_timer_);
  dependencies_.loop.Cancel(stage_timer_);
}

const std::string& forward_request::organisation_name() const {
  static const std::string kNone;
  return organisation_ == nullptr ? kNone : organisation_->name;
}

common::duration forward_request::TimeLeft() const {
  return deadline_ - dependencies_.clock.Now();
}

void forward_request::Start() {
  exchange_->OnGone([this] { OnGone(); });
  table_ = dependencies_.routes.current();
  if (!table_) {
    Answer({503, "Service Unavailable", "no configuration yet"},
           kNotReadyReturn);
    return;
  }
  if (!FindRoute() || !FindOrganisation() || RefuseQuarantined()) return;
  SetTimes();
  dependencies_.retry_budget.OnRequest(service_);
  common::LogEvent(log_event::kRouted, request_id_,
                   {{"route", route_->name},
                    {"service", service_},
                    {"version", static_cast<int64_t>(table_->version())},
                    {"organisation", organisation_name()},
                    {"priority", int64_t{priority_}},
                    {"deadline_ms", common::WholeMillis(TimeLeft())}});
  ReadPrompt();
  timeout_timer_ = dependencies_.loop.Schedule(
      std::max(TimeLeft(), common::duration(0)), [this] {
        timeout_timer_ = 0;
        Terminate();
      });
  if (!route_->stages.empty()) {
    if (!MakePlan() || !AdmitStages()) return;
    AnnounceStages();
    RunStages();
    return;
  }
  SendToTarget();
}

bool forward_request::FindRoute() {
  const net::message_head& head = exchange_->head();
  const std::string* host = head.Find("Host");
  const std::string_view name = host == nullptr ? "" : HostWithoutPort(*host);
  route_ = table_->Find(name, PathWithoutQuery(head.target));
  if (route_ == nullptr) {
    Answer({404, "Not Found", "no route"}, common::duration(0));
    return false;
  }
  if (const std::string* id =
          head.Find(dependencies_.codec.headers().request_id)) {
    request_id_ = *id;
  }
  uint64_t total = 0;
  for (const core::weighted_service& each : route_->services) {
    total += each.weight;
  }
  uint64_t drawn = dependencies_.random.Below(total);
  for (const core::weighted_service& each : route_->services) {
    service_ = each.service;
    if (drawn < each.weight) break;
    drawn -= each.weight;
  }
  return true;
}

bool forward_request::FindOrganisation() {
  if (route_->is_public || !table_->needs_keys()) return true;
  const net::message_head& head = exchange_->head();
  const std::string& name = dependencies_.codec.headers().key;
  const std::string* key = head.Find(name);
  if (key != nullptr && head.Count(name) == 1) {
    organisation_ = table_->FindKey(*key);
  }
  if (organisation_ != nullptr) return true;
  Answer({401, "Unauthorized", "unknown key"}, common::duration(0));
  return false;
}

std::string forward_request::Digest() const {
  // A caller that sends a request again gives it a new id.
  const net::message_head& head = exchange_->head();
  std::string content =
      head.method + ' ' + head.target + '\n' + organisation_name() + '\n';
  content.append(exchange_->body());
  return common::Sha256Hex(content);
}

common::duration forward_request::RefusedFor() const {
  // Most of the time there is nothing to compare a digest with.
  return dependencies_.suspects.empty()
             ? common::duration(0)
             : dependencies_.suspects.RemainingRefusal(Digest());
}

bool forward_request::RefuseQuarantined() {
  const common::duration refused = RefusedFor();
  if (refused.count() == 0) return false;
  common::LogEvent(log_event::kRefused, request_id_,
                   {{"route", route_->name},
                    {"why", "it crashes targets"},
                    {"return_after_ms", common::WholeMillis(refused)}});
  Answer({503, "Service Unavailable", "its earlier runs crashed targets"},
         refused);
  return true;
}

void forward_request::NoteLoss(net::call_failure why) {
  if (why != net::call_failure::kLost && why != net::call_failure::kCutShort) {
    return;
  }
  dependencies_.suspects.OnLost(
      Digest(),
      dependencies_.targets.MostEjected(service_, dependencies_.clock.Now()));
}

void forward_request::SetTimes() {
  const common::time_point received = exchange_->received();
  deadline_ = received + route_->timeout;
  const std::string* text =
      exchange_->head().Find(dependencies_.codec.headers().deadline_ms);
  const std::optional<double> given =
      text == nullptr ? std::nullopt : ParseNumber<double>(*text);
  objective_ = received + route_->objective;
  if (given && *given >= 0) {
    const common::duration patience = common::FromSeconds(
        std::min(*given / kMillisPerSecond, kLongestDeadlineSeconds));
    deadline_ = std::min(deadline_, received + patience);
    objective_ -= dependencies_.caller_retries.TimeSinceFirstRequest(
        route_->name, organisation_name(), patience);
  }
  begin_by_ = deadline_;
  if (route_->patience.count() > 0) {
    begin_by_ = std::min(begin_by_, received + route_->patience);
  }
  priority_ = route_->priority;
  if (organisation_ != nullptr && organisation_->priority) {
    priority_ = *organisation_->priority;
  }
}

void forward_request::ReadPrompt() {
  const core::header_names& names = dependencies_.codec.headers();
  const net::message_head& head = exchange_->head();
  if (const std::string* tokens = head.Find(names.prompt_tokens)) {
    const std::vector<std::string_view> parts = SplitCommaList(*tokens);
    if (!parts.empty()) {
      prompt_tokens_ = ParseNumber<uint32_t>(parts[0]).value_or(0);
    }
  }
  const std::string* listed = head.Find(names.prompt_parts);
  if (listed == nullptr) return;
  for (const std::string_view part : SplitCommaList(*listed)) {
    const size_t colon = part.find(':');
    if (colon == std::string_view::npos) return;
    prompt_parts_.push_back(
        {std::string(part.substr(0, colon)),
         ParseNumber<uint32_t>(part.substr(colon + 1)).value_or(0)});
  }
}

core::selection_context forward_request::Question() const {
  core::selection_context question;
  question.service = service_;
  question.parts = prompt_parts_;
  question.prompt_tokens = prompt_tokens_;
  question.tried = tried_;
  return question;
}

core::selection_context forward_request::QuestionWithInputs() const {
  core::selection_context question = Question();
  if (!plan_) return question;
  for (const core::data_centre_bytes& each : PlacesOf(plan_->FinalStages())) {
    question.input_bytes[each.data_centre] += each.bytes;
  }
  return question;
}

void forward_request::SendToTarget() {
  // Under load the loop sees a caller's close late.
  if (exchange_->CallerLeft()) {
    OnGone();
    return;
  }
  const core::selection_context question = QuestionWithInputs();
  target_ = dependencies_.choice.Choose(question);
  if (!target_) {
    if (may_have_run_) {
      AnswerUnknown("no other target");
    } else {
      AnswerNotRun("no target can be asked");
    }
    return;
  }
  const common::duration left = TimeLeft();
  net::outgoing_request request;
  const std::optional<net::endpoint> to =
      net::EndpointFrom(target_->entry.address);
  if (!to) {
    AnswerNotRun("the target has no address");
    return;
  }
  request.to = *to;
  request.method = exchange_->head().method;
  request.target = exchange_->head().target;
  request.headers = HeadersFor(*target_, left);
  request.body = exchange_->body();
  if (!request_id_.empty()) {
    request.echo_header = dependencies_.codec.headers().request_id;
    request.echo_value = request_id_;
  }
  request.reuse = MayRepeat();
  NoteSent(left);
  call_ = dependencies_.client.Start(request, *this);
}

void forward_request::NoteSent(common::duration left) {
  tried_.push_back(target_->entry.id);
  ++attempts_;
  target_->in_flight += 1;
  const uint32_t held =
      dependencies_.choice.hints().HeldTokens(target_->entry.id, prompt_parts_);
  counted_tokens_ = prompt_tokens_ > held ? prompt_tokens_ - held : 0;
  target_->outstanding_tokens += counted_tokens_;
  dependencies_.choice.hints().NoteSent(target_->entry.id, prompt_parts_);
  answer_ = net::message_head();
  answer_body_.clear();
  answer_not_run_ = answer_signed_ = inputs_gone_ = false;
  common::LogEvent(
      log_event::kSent, request_id_,
      {{"target", target_->entry.id},
       {"service", service_},
       {"attempt", int64_t{attempts_}},
       {"in_flight", int64_t{target_->in_flight}},
       {"prompt_tokens", int64_t{prompt_tokens_}},
       {"held_tokens", int64_t{held}},
       {"resting", target_->ejected_until > dependencies_.clock.Now()},
       {"after_event", std::string_view(stream_.last_id().value_or(""))},
       {"left_ms", common::WholeMillis(left)},
       {"since_ms", common::WholeMillis(dependencies_.clock.Now() -
                                        exchange_->received())}});
}

std::vector<net::http_header> forward_request::HeadersFor(
    const core::fleet_target& target, common::duration left) const {
  const core::header_names& names = dependencies_.codec.headers();
  const net::message_head& head = exchange_->head();
  std::vector<net::http_header> headers;
  headers.reserve(head.headers.size() + 4);
  const bool resuming = relaying_ && stream_.last_id().has_value();
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
  const int64_t left_ms = std::max<int64_t>(1, common::WholeMillis(left));
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
  if (resuming) headers.push_back({names.last_event_id, *stream_.last_id()});
  return headers;
}

void forward_request::OnHead(const net::message_head& head) {
  answer_ = head;
  const core::deployment_codec& codec = dependencies_.codec;
  const bool marked = head.Find(codec.headers().not_run) != nullptr;
  answer_not_run_ = codec.IndicatesNotRun(head.status, marked);
  inputs_gone_ = codec.IndicatesMissingInputs(head.status, marked);
  answer_signed_ =
      head.Find(dependencies_.codec.headers().signature) != nullptr;
  target_->outstanding_tokens -= counted_tokens_;
  counted_tokens_ = 0;
  if (!Succeeded()) return;
  may_have_run_ = true;
  if (route_->kind == core::request_kind::kStreaming) {
    // The target fetched its inputs before it began.
    ReleaseInputs();
    if (!relaying_) BeginRelay(head);
  }
}

void forward_request::BeginRelay(const net::message_head& head) {
  relaying_ = true;
  events_ = route_->kind == core::request_kind::kStreaming && Succeeded();
  const std::vector<net::http_header> headers = EndToEndHeaders(head);
  std::optional<uint64_t> length;
  if (!events_ || !MayRepeat()) length = head.content_length;
  exchange_->SendHead(head.status, head.reason, headers, length);
}

void forward_request::OnBody(std::string_view data) {
  // Of a stream that goes on, only a success continues it.
  if (relaying_ && (!events_ || Succeeded())) {
    Relay(data);
    return;
  }
  // Only the target's own answer is passed on, a failure too.
  if (relaying_ || answer_not_run_ || !answer_signed_) return;
  answer_body_.append(data);
  if (answer_body_.size() <= kMostHeldBytes) return;
  // Too large to hold.
  BeginRelay(answer_);
  exchange_->SendBody(std::exchange(answer_body_, {}));
}

bool forward_request::Succeeded() const {
  return answer_.status / 100 == 2 && answer_signed_ && !answer_not_run_;
}

void forward_request::Relay(std::string_view data) {
  if (!events_) {
    exchange_->SendBody(data);
  } else {
    const std::string whole = stream_.Feed(data);
    if (!whole.empty()) exchange_->SendBody(whole);
  }
  LimitPending();
}

void forward_request::LimitPending() {
  if (resume_timer_ != 0 || exchange_->PendingBytes() < kMostPendingBytes) {
    return;
  }
  call_->Pause();
  resume_timer_ = dependencies_.loop.Schedule(kPendingCheck, [this] {
    resume_timer_ = 0;
    if (exchange_->PendingBytes() < kMostPendingBytes) {
      if (call_) call_->Resume();
    } else {
      LimitPending();
    }
  });
}

void forward_request::OnComplete() {
  if (answer_not_run_) {
    EndAttempt(attempt_outcome::kNotRun);
    return;
  }
  if (!answer_signed_) {
    EndAttempt(attempt_outcome::kLost);
    return;
  }
  if (!dependencies_.suspects.empty())
    dependencies_.suspects.OnAnswered(Digest());
  // A large failure is passed on already.
  const bool passed_on = relaying_ && !events_;
  if (!Succeeded() && !passed_on) {
    EndAttempt(attempt_outcome::kFailed);
    return;
  }
  dependencies_.ejection.OnSuccess(target_.get());
  const std::string target = target_->entry.id;
  LeaveTarget();
  if (relaying_) {
    if (events_ && !stream_.rest().empty()) {
      exchange_->SendBody(stream_.rest());
    }
    exchange_->Finish();
    Conclude("complete", answer_.status, target);
    return;
  }
  PassOnAnswer(target);
}

void forward_request::OnFailure(net::call_failure why) {
  NoteLoss(why);
  EndAttempt(why == net::call_failure::kNotSent ? attempt_outcome::kNotSent
                                                : attempt_outcome::kLost);
}

void forward_request::NoteTarget(attempt_outcome end) {
  const common::time_point now = dependencies_.clock.Now();
  switch (end) {
    case attempt_outcome::kNotRun:
      dependencies_.ejection.OnOverloaded(target_.get(), now);
      break;
    case attempt_outcome::kFailed:
      if (answer_.status >= 500) {
        dependencies_.ejection.OnTargetFailure(target_.get(), now);
      }
      break;
    default:
      dependencies_.ejection.OnLost(target_.get(), now);
  }
}

void forward_request::LeaveTarget() {
  if (!target_) return;
  target_->in_flight -= 1;
  target_->outstanding_tokens -= counted_tokens_;
  counted_tokens_ = 0;
  target_.reset();
  call_.reset();
}

core::attempt_context forward_request::QuestionAfter(
    attempt_outcome end) const {
  core::attempt_context question;
  question.end = end;
  question.retryable = MayRepeat();
  question.may_have_run = may_have_run_;
  question.attempts = attempts_;
  question.max_attempts = route_->max_attempts;
  question.time_left = TimeLeft() > kLeastTime && !caller_gone_;
  question.targets_left =
      dials_failed_ < kMostFailedDials &&
      dependencies_.targets.Pool(service_).size() > tried_.size();
  // A client error of the target's own would only be repeated.
  const bool client_error =
      end == attempt_outcome::kFailed && answer_.status < 500;
  question.budget_left = !client_error;
  if (RefusedFor().count() > 0) question.targets_left = false;
  // The inputs of stages are given up once a target has begun.
  if (!inputs_.empty() && !plan_ && !relaying_) question.targets_left = false;
  return question;
}

void forward_request::EndAttempt(attempt_outcome end) {
  NoteTarget(end);
  const std::string target = target_->entry.id;
  LeaveTarget();
  if (end == attempt_outcome::kNotSent) {
    --attempts_;
    ++dials_failed_;
  }
  if (end == attempt_outcome::kLost || end == attempt_outcome::kFailed) {
    may_have_run_ = true;
  }
  if (inputs_gone_ && !relaying_ && MayRestartStages()) {
    tried_.clear();
    RestartStages();
    return;
  }
  core::attempt_context question = QuestionAfter(end);
  const bool would_repeat = DecideNextStep(question) == next_step::kRetry &&
                            end != attempt_outcome::kNotSent;
  if (would_repeat) {
    question.budget_left = dependencies_.retry_budget.TryAcquire(service_);
  }
  const next_step next = DecideNextStep(question);
  common::Metrics().Count(
      "wisteria_attempts_failed_total",
      {{"service", service_}, {"end", core::ToString(end)}});
  common::LogEvent(log_event::kAttemptEnded, request_id_,
                   {{"target", target},
                    {"end", core::ToString(end)},
                    {"status", int64_t{answer_.status}},
                    {"attempts", int64_t{attempts_}},
                    {"may_have_run", may_have_run_},
                    {"budget_left", question.budget_left},
                    {"next", core::ToString(next)}});
  if (next == next_step::kRetry) {
    stream_.Restart();
    SendToTarget();
    return;
  }
  if (relaying_) {
    exchange_->Abort();
    Conclude("cut", answer_.status, target);
    return;
  }
  switch (next) {
    case next_step::kForwardFailure:
      PassOnAnswer(target);
      break;
    case next_step::kNotRun:
      AnswerNotRun("refused by target " + target);
      break;
    default:
      AnswerUnknown("lost at target " + target);
  }
}

void forward_request::PassOnAnswer(const std::string& target) {
  const std::vector<net::http_header> headers = EndToEndHeaders(answer_);
  if (exchange_->head().method == "HEAD") {
    exchange_->SendHead(answer_.status, answer_.reason, headers,
                        answer_.content_length);
    exchange_->Finish();
  } else {
    exchange_->Send(answer_.status, answer_.reason, headers, answer_body_);
  }
  Conclude(answer_.status < 500 ? "complete" : "failed", answer_.status,
           target);
}

void forward_request::AnswerNotRun(std::string_view why) {
  Answer({503, "Service Unavailable", why}, ReturnAfter());
}

void forward_request::AnswerUnknown(std::string_view why) {
  Answer({502, "Bad Gateway", why}, common::duration(0));
}

common::duration forward_request::ReturnAfter() {
  const common::time_point now = dependencies_.clock.Now();
  common::duration until = kRefusedReturn;
  if (!route_->stages.empty() &&
      piece_counts_.size() == route_->stages.size()) {
    until = std::max(
        until, dependencies_.latency_estimator
                   .Estimate(*table_, route_->stages, piece_counts_, priority_)
                   .in_time);
  }
  return dependencies_.admission.RetryAfter(until, deadline_ - now);
}

void forward_request::Answer(const own_answer& answer,
                             common::duration return_after) {
  std::vector<net::http_header> headers;
  headers.push_back({"Content-Type", "text/plain"});
  if (return_after.count() > 0) {
    std::array<char, 16> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.2f",
                  std::chrono::duration<double>(return_after).count());
    headers.push_back({"Retry-After", seconds.data()});
  }
  exchange_->Send(answer.status, answer.reason, headers, answer.text);
  Conclude(answer.text, answer.status, "");
}

void forward_request::Conclude(std::string_view outcome, int status,
                               std::string_view target) {
  const common::time_point now = dependencies_.clock.Now();
  const common::duration took = now - exchange_->received();
  const std::string_view route =
      route_ == nullptr ? std::string_view() : std::string_view(route_->name);
  const std::string answered = std::to_string(status);
  common::Metrics().Count("wisteria_requests_total",
                          {{"route", route}, {"status", answered}});
  common::Metrics().Observe("wisteria_request_seconds", took,
                            {{"route", route}});
  common::LogEvent(log_event::kAnswered, request_id_,
                   {{"status", int64_t{status}},
                    {"outcome", outcome},
                    {"route", route},
                    {"target", target},
                    {"attempts", int64_t{attempts_}},
                    {"may_have_run", may_have_run_},
                    {"late", late_},
                    {"took_ms", common::WholeMillis(took)}});
  End();
}

void forward_request::Terminate() {
  const bool sent = call_ && call_->sent();
  call_.reset();
  LeaveTarget();
  if (relaying_) {
    exchange_->Abort();
    Conclude("cut for want of time", answer_.status, "");
    return;
  }
  if (sent || may_have_run_) {
    Answer({504, "Gateway Timeout", "no answer in time"}, common::duration(0));
  } else {
    AnswerNotRun("its time ran out before it was sent");
  }
}

void forward_request::OnGone() {
  caller_gone_ = true;
  common::Metrics().Count("wisteria_callers_left_total");
  // A request that must not be repeated is left to end: its effect may be
  // wanted, and cutting it would leave it in doubt.
  const bool keep = route_ != nullptr &&
                    route_->kind == core::request_kind::kNonIdempotent &&
                    call_ && call_->sent();
  common::LogEvent(log_event::kCancelled, request_id_,
                   {{"took_ms", common::WholeMillis(dependencies_.clock.Now() -
                                                    exchange_->received())},
                    {"sent", call_ && call_->sent()},
                    {"left_to_end", keep}});
  if (keep) return;
  End();
}

void forward_request::End() {
  call_.reset();
  LeaveTarget();
  ReleaseInputs();
  exchange_->OnGone(nullptr);
  owner_.Remove(this);
}

}  // namespace wisteriadale::gateway
