#include <algorithm>

#include "common/event_log.h"
#include "common/metrics.h"
#include "gateway/forward_headers.h"
#include "gateway/forward_request.h"

// Requests to targets that take only some, or none for a time, and requests to
// a gateway that stops.

namespace wisteriadale::gateway {
namespace {

using common::log_event;
using core::attempt_outcome;

// Each wait asks the owner of one target's slots. What owners denied is known
// for the next request, so that more waits hardly find a slot.
constexpr uint32_t kMaxSlotWaits = 3;
// A request that is late already waits this long: a reply of an owner takes a
// few milliseconds.
constexpr common::duration kMinSlotDelay = std::chrono::milliseconds(100);

// The balancer sends a caller that returns to another process.
constexpr common::duration kStoppingRetryAfter = std::chrono::milliseconds(100);
// Minimum Retry-After: by then an overloaded target has finished a few
// requests.
constexpr common::duration kRefusedRetryAfter = std::chrono::milliseconds(200);

}  // namespace

void forward_request::ObserveStatements() {
  // The response is from another target than the one that was meant.
  if (deps_.codec.IndicatesMisdirected(response_head_.status)) return;
  deps_.statements.OnResponse(
      target_->entry, StatementOf(response_head_, deps_.codec), request_id_);
  core::limit_observation observation;
  observation.limit =
      RequestLimitOf(response_head_, deps_.codec.headers().request_limit);
  observation.sent_at = attempt_started_;
  observation.conclusive = response_signed_;
  deps_.limits.OnResponse(target_->entry, observation, request_id_);
}

void forward_request::UpdateTargetHealth(attempt_outcome outcome) {
  const common::time_point now = deps_.clock.Now();
  switch (outcome) {
    case attempt_outcome::kNotRun:
      deps_.ejection.OnOverloaded(target_.get(), now);
      break;
    case attempt_outcome::kAnswered:
      deps_.ejection.OnSuccess(target_.get());
      break;
    case attempt_outcome::kUnconfirmed:
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kCancelled:
      break;
    case attempt_outcome::kFailed:
      if (response_head_.status >= 500) {
        deps_.ejection.OnTargetFailure(target_.get(), now);
      }
      break;
    default:
      deps_.ejection.OnLost(target_.get(), now);
  }
}

common::duration forward_request::MaxSlotDelay() const {
  const common::duration to_objective = objective_ - deps_.clock.Now();
  return std::min(std::max(to_objective, kMinSlotDelay), RemainingTime());
}

bool forward_request::WaitForSlot(const core::fleet_target& target) {
  const common::duration expected = deps_.slots.ExpectedDelay(target.entry);
  const common::duration max_delay = MaxSlotDelay();
  const bool waits = slot_waits_ < kMaxSlotWaits && expected <= max_delay;
  common::LogEvent(log_event::kSlotWait, request_id_,
                   {{"target", target.entry.id},
                    {"service", service_},
                    {"waits", waits},
                    {"earlier_waits", int64_t{slot_waits_}},
                    {"expected_ms", common::ToMillis(expected)},
                    {"max_ms", common::ToMillis(max_delay)}});
  if (!waits) {
    NoteSlotDelay(expected);
    return false;
  }
  ++slot_waits_;
  slot_wait_ = deps_.slots.Wait(
      target.entry, max_delay,
      [this](const core::slot_outcome& outcome) { OnSlotOutcome(outcome); });
  return true;
}

void forward_request::OnSlotOutcome(const core::slot_outcome& outcome) {
  slot_wait_ = 0;
  if (!outcome.granted) NoteSlotDelay(outcome.delay);
  StartAttempt();
}

void forward_request::NoteSlotDelay(common::duration delay) {
  next_slot_delay_ =
      next_slot_delay_.count() == 0 ? delay : std::min(next_slot_delay_, delay);
}

common::duration forward_request::RetryAfter() {
  const common::time_point now = deps_.clock.Now();
  common::duration min_delay = std::max(kRefusedRetryAfter, next_slot_delay_);
  if (!route_->stages.empty() &&
      piece_counts_.size() == route_->stages.size()) {
    min_delay = std::max(min_delay, deps_.latency_estimator
                                        .Estimate(*route_table_, route_->stages,
                                                  piece_counts_, rank_)
                                        .in_time);
  }
  return deps_.admission.RetryAfter(min_delay, deadline_ - now);
}

bool forward_request::RejectedByStop(const core::stop_decision& decision) {
  if (decision.may_start) return false;
  common::Metrics().Count("wisteria_requests_refused_by_stop_total");
  common::LogEvent(log_event::kRefused, request_id_,
                   {{"route", route_->name},
                    {"reason", "the process stops"},
                    {"expected_ms", common::ToMillis(decision.expected)},
                    {"left_ms", common::ToMillis(decision.left)},
                    {"attempts", int64_t{attempts_}},
                    {"may_have_run", may_have_run_}});
  if (may_have_run_) {
    RespondUnknownOutcome("the process stops");
  } else {
    Respond({503, "Service Unavailable", "the process stops"},
            kStoppingRetryAfter);
  }
  return true;
}

bool forward_request::RejectedByEvacuation() {
  std::string_view service;
  if (deps_.targets.AllEvacuated(service_)) service = service_;
  for (size_t stage = 0; stage < route_->stages.size(); ++stage) {
    const std::string& used = route_->stages[stage].service;
    if (piece_counts_[stage] > 0 && deps_.targets.AllEvacuated(used)) {
      service = used;
    }
  }
  if (service.empty()) return false;
  common::LogEvent(log_event::kRefused, request_id_,
                   {{"route", route_->name},
                    {"reason", "all targets are in evacuated data centres"},
                    {"service", service}});
  RespondNotRun("all targets of a service are in evacuated data centres");
  return true;
}

void forward_request::RespondNoTarget() {
  if (relaying_ && !AbandonRelay()) {
    Conclude("cut: no other target available", response_head_.status, "");
  } else if (may_have_run_) {
    RespondUnknownOutcome("no other target available");
  } else if (next_slot_delay_.count() > 0) {
    RespondNotRun("the targets take no more requests at present");
  } else {
    RespondNotRun("no target available");
  }
}

}  // namespace wisteriadale::gateway
