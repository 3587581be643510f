#include "gateway/forward_request.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"
#include "core/admission/request_rank.h"
#include "gateway/forward_headers.h"
#include "gateway/request_lookup.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;
using core::attempt_outcome;

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
  if (exchange_->fault() != net::body_fault::kNone) {
    RespondNotRun(exchange_->fault() == net::body_fault::kStopping
                      ? "this gateway stops"
                      : "its body was not read");
    return;
  }
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
                    {"rank", int64_t{rank_}},
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
  route_ = gateway::FindRoute(*route_table_, head);
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
  if (!NeedsKey(*route_table_, *route_)) return true;
  organisation_ = gateway::FindOrganisation(
      *route_table_, deps_.codec.headers(), exchange_->head());
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
  rank_ = core::RequestRank(
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
  if (may_have_run_ && deps_.codec.PromisesNotRun(response.status)) {
    RespondUnknownOutcome(response.text);
    return;
  }
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
  if (relaying_ && !AbandonRelay()) {
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
