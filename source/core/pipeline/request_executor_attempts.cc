// Time limits, hedges and the end of the attempts of a request.

#include "common/metrics.h"
#include "core/pipeline/request_executor.h"

namespace wisteriadale::core {

using common::result_code;

void request_executor::ScheduleTimeout(running_attempt* attempt,
                                       common::duration limit) {
  // The deadline timer ends an attempt that may use all the remaining time.
  if (limit >= Remaining()) return;
  attempt->timeout_timer = router_.timers.Schedule(
      attempt->last_progress + limit - router_.clock.Now(),
      [self = shared_from_this(), id = attempt->id, limit] {
        self->OnAttemptTimeout(id, limit);
      });
}

void request_executor::OnAttemptTimeout(const std::string& attempt_id,
                                        common::duration limit) {
  running_attempt* attempt = running_.Find(attempt_id);
  if (ended_ || attempt == nullptr) return;
  attempt->timeout_timer = 0;
  if (attempt->last_progress + limit > router_.clock.Now()) {
    ScheduleTimeout(attempt, limit);
    return;
  }
  common::duration delay = common::duration::zero();
  if (running_.size() == 1) {
    // If the policy grants no retry, the slow attempt is the best there is.
    const std::optional<common::duration> granted =
        policies_->retry->RetryDelay(Context(result_code::kTargetLost));
    if (!granted) return;
    delay = *granted;
  }
  common::Metrics().Count("wisteria_attempts_timed_out_total",
                          {{"stage", Stage().name}});
  router_.attempts.Cancel(attempt_id);
  RecordAttempt(*attempt, result_code::kTargetLost);
  EndAttempt(attempt_id);
  if (!running_.empty()) return;
  ++request_retries_;
  RetryAfter(delay);
}

void request_executor::ScheduleHedge() {
  router_.timers.Cancel(hedge_timer_);
  hedge_timer_ = 0;
  const std::optional<common::duration> delay =
      policies_->retry->HedgeDelay(stage_key_);
  if (!delay || *delay >= Remaining()) return;
  hedge_timer_ = router_.timers.Schedule(*delay, [self = shared_from_this()] {
    self->hedge_timer_ = 0;
    self->OnHedgeDue();
  });
}

void request_executor::OnHedgeDue() {
  // A stream that has begun is never hedged.
  if (ended_ || running_.size() != 1 || !stream_.empty()) return;
  const target_view* chosen = ChooseTarget();
  if (chosen == nullptr) return;
  if (!policies_->retry->TryAcquireHedge(Context(result_code::kOk))) return;
  common::Metrics().Count("wisteria_hedges_total", {{"stage", Stage().name}});
  Dispatch(chosen->id, chosen->incarnation, nullptr, true);
}

void request_executor::CancelOthers(std::string_view attempt_id) {
  for (const std::string& other : running_.Others(attempt_id)) {
    router_.attempts.Cancel(other);
    EndAttempt(other);
  }
}

void request_executor::RecordAttempt(const running_attempt& attempt,
                                     result_code code) {
  policies_->OnAttempt(router_.targets, Stage().pool, attempt.target,
                       stage_key_, code, router_.clock.Now() - attempt.started);
}

void request_executor::EndAttempt(const std::string& attempt_id) {
  const running_attempt* attempt = running_.Find(attempt_id);
  if (attempt == nullptr) return;
  router_.timers.Cancel(attempt->timeout_timer);
  target_view* view = router_.targets.Find(attempt->target);
  if (view != nullptr && view->local_in_flight > 0) --view->local_in_flight;
  common::span_record span;
  span.context = attempt->trace;
  span.name = "attempt " + Stage().name;
  span.start_us = attempt->started_wall_us;
  span.end_us = router_.clock.WallMicros();
  span.attributes = {{"target", attempt->target},
                     {"request_id", description_.id}};
  common::EmitSpan(span);
  running_.Remove(attempt_id);
  if (running_.empty() && answered_) keep_alive_.reset();
}

}  // namespace wisteriadale::core
