#include "core/pipeline/request_executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/invariant.h"
#include "common/metrics.h"
#include "core/admission/stage_budget.h"

namespace wisteriadale::core {
namespace {

using common::result_code;
using nlohmann::json;

constexpr common::duration kSettleLimit = std::chrono::seconds(30);

/// Bytes at the start of a body that make requests share a prompt prefix.
constexpr size_t kPrefixBytes = 256;

/// @return the key under which engines are likely to share a prompt prefix
std::string PrefixKey(const request_description& description) {
  const json body = json::parse(description.body, nullptr, false);
  std::string text = description.body.substr(0, kPrefixBytes);
  if (body.is_object() && body.contains("conversation")) {
    text = body["conversation"].dump();
  }
  return common::Sha256Hex(description.plan.name + "\n" +
                           description.organisation + "\n" + text)
      .substr(0, 16);
}

json ParseOrText(const std::string& text) {
  json parsed = json::parse(text, nullptr, false);
  return parsed.is_discarded() ? json(text) : parsed;
}

}  // namespace

std::shared_ptr<request_executor> request_executor::Create(
    executor_context& context, request_description description,
    std::shared_ptr<request_sink> sink) {
  return std::shared_ptr<request_executor>(
      new request_executor(context, std::move(description), std::move(sink)));
}

void request_executor::Start() {
  deadline_ = context_.clock.Now() + description_.deadline;
  policies_ =
      context_.policies.For(description_.configuration_in_force->Preset());
  deadline_timer_ = context_.timers.Schedule(description_.deadline,
                                             [self = shared_from_this()] {
                                               self->deadline_timer_ = 0;
                                               self->OnDeadline();
                                             });
  prefix_key_ = PrefixKey(description_);
  StartStage();
}

const stage_plan& request_executor::Stage() const {
  return description_.plan.stages[stage_index_];
}

common::duration request_executor::Remaining() const {
  return deadline_ - context_.clock.Now();
}

void request_executor::StartStage() {
  stage_key_ = StageKey(description_.plan, stage_index_);
  attempts_made_ = 0;
  waits_ = 0;
  tried_targets_.clear();
  stream_.clear();
  stage_started_ = context_.clock.Now();
  context_.timers.Cancel(hedge_timer_);
  hedge_timer_ = 0;
  if (!WorthStarting()) {
    Fail(result_code::kDeadlineExceeded,
         "the remaining stages take longer than the remaining time",
         request_fate::kNotRun);
    return;
  }
  TryStage();
}

bool request_executor::WorthStarting() const {
  // Admission judged the first stage; an operation is never given up early.
  if (stage_index_ == 0 || description_.plan.deferrable) return true;
  if (description_.plan.HasNonIdempotentStage()) return true;
  return policies_->deadlines->CanFinish(description_.plan, stage_index_,
                                         Remaining());
}

target_view* request_executor::ChooseTarget() {
  const target_pool* pool = context_.targets.Pool(Stage().pool);
  if (pool == nullptr) return nullptr;
  routing_request request;
  request.pool = Stage().pool;
  request.organisation = description_.organisation;
  request.excluded = tried_targets_;
  if (Stage().prefix_affinity) request.prefix_key = prefix_key_;
  target_view* chosen = policies_->routing->Choose(*pool, request);
  if (chosen != nullptr || !running_.empty()) return chosen;
  // Every target was tried once; a second round beats giving up.
  request.excluded = {};
  return policies_->routing->Choose(*pool, request);
}

void request_executor::TryStage() {
  if (ended_) return;
  const target_view* chosen = ChooseTarget();
  if (chosen == nullptr) {
    RetryLater();
    return;
  }
  if (Stage().idempotent) {
    Dispatch(chosen->id, chosen->incarnation, "");
  } else {
    Reserve(chosen->id, chosen->incarnation);
  }
}

void request_executor::Reserve(const std::string& target,
                               uint64_t incarnation) {
  operation_record wanted;
  wanted.digest = description_.digest;
  wanted.request_id = description_.id;
  wanted.target = target;
  wanted.incarnation = incarnation;
  wanted.router = context_.router_name;
  context_.operations.Reserve(
      OperationRowKey(description_.organisation, description_.idempotency_key),
      wanted, deadline_,
      [self = shared_from_this()](const reserve_answer& answer) {
        self->OnReserved(answer);
      });
}

void request_executor::OnReserved(const reserve_answer& answer) {
  if (answer.status == reserve_status::kReserved) {
    reservation_ = answer.record;
    reservation_version_ = answer.version;
    if (ended_) {
      // The deadline passed meanwhile; nothing was dispatched.
      ReleaseReservation(result_code::kDeadlineExceeded, "");
      return;
    }
    Dispatch(reservation_.target, reservation_.incarnation, reservation_.token);
    return;
  }
  if (ended_) return;
  switch (answer.status) {
    case reserve_status::kRecorded:
      operation_done_ = true;
      StageDone(answer.record.result);
      return;
    case reserve_status::kKeyReused:
      Fail(result_code::kKeyReused, "the key belongs to another body",
           request_fate::kNotRun);
      return;
    case reserve_status::kHeldByOther:
      // Another request under this key runs; its result will be ours.
      RetryLater();
      return;
    case reserve_status::kNotReserved:
      Fail(result_code::kPlatformUnavailable, "the operation was not reserved",
           request_fate::kNotRun);
      return;
    default:
      Fail(result_code::kOperationUnknown, "the table does not answer",
           request_fate::kUnknown);
      return;
  }
}

void request_executor::Dispatch(const std::string& target, uint64_t incarnation,
                                const std::string& token, bool hedge) {
  execute_message execute;
  execute.attempt_id = context_.random.HexId();
  execute.request_id = description_.id;
  execute.organisation = description_.organisation;
  execute.organisation_weight = description_.organisation_weight;
  execute.pipeline = description_.plan.name;
  execute.stage = Stage().name;
  execute.input = StageInput();
  execute.digest = description_.digest;
  execute.operation_token = token;
  execute.expected_incarnation = token.empty() ? 0 : incarnation;
  execute.remaining =
      std::chrono::duration_cast<common::milliseconds>(Remaining());
  execute.deferrable = description_.plan.deferrable;
  execute.stream_prefix = stream_;
  if (Stage().prefix_affinity) execute.prefix_key = prefix_key_;
  execute.configuration_version = description_.configuration_in_force->version;
  execute.trace = common::ChildOf(description_.trace, context_.random);
  if (!token.empty()) {
    execute.operation_key = OperationRowKey(description_.organisation,
                                            description_.idempotency_key);
  }
  ++attempts_made_;
  tried_targets_.push_back(target);
  const bool sent =
      context_.attempts.Start(target, incarnation, execute, weak_from_this());
  if (!sent) {
    if (!token.empty()) {
      ReleaseReservation(result_code::kPeerLost, "the agent is not connected");
    } else if (running_.empty()) {
      RetryLater();
    }
    return;
  }
  operation_dispatched_ = operation_dispatched_ || !token.empty();
  running_attempt started;
  started.id = execute.attempt_id;
  started.target = target;
  started.trace = execute.trace;
  started.started = context_.clock.Now();
  started.progressed = started.started;
  started.started_wall_us = context_.clock.WallMicros();
  started.hedge = hedge;
  running_attempt& attempt = running_.Add(std::move(started));
  target_view* view = context_.targets.Find(target);
  if (view != nullptr) ++view->local_in_flight;
  if (!Stage().idempotent) return;
  ArmTimeout(&attempt, policies_->deadlines->AttemptTimeout(
                           description_.plan, stage_index_, Remaining()));
  if (!hedge) ArmHedge();
}

void request_executor::ArmTimeout(running_attempt* attempt,
                                  common::duration limit) {
  // The deadline's own timer ends an attempt that may use all that remains.
  if (limit >= Remaining()) return;
  attempt->timeout_timer = context_.timers.Schedule(
      attempt->progressed + limit - context_.clock.Now(),
      [self = shared_from_this(), id = attempt->id, limit] {
        self->OnAttemptTimeout(id, limit);
      });
}

void request_executor::OnAttemptTimeout(const std::string& attempt_id,
                                        common::duration limit) {
  running_attempt* attempt = running_.Find(attempt_id);
  if (ended_ || attempt == nullptr) return;
  attempt->timeout_timer = 0;
  if (attempt->progressed + limit > context_.clock.Now()) {
    ArmTimeout(attempt, limit);
    return;
  }
  common::duration delay = common::duration::zero();
  if (running_.size() == 1) {
    // Without leave to try elsewhere, the slow attempt is the best there is.
    const std::optional<common::duration> granted =
        policies_->retry->Retry(Question(result_code::kTargetLost));
    if (!granted) return;
    delay = *granted;
  }
  common::Metrics().Count("wisteria_attempts_timed_out_total",
                          {{"stage", Stage().name}});
  context_.attempts.Cancel(attempt_id);
  NoteAttempt(*attempt, result_code::kTargetLost);
  EndAttempt(attempt_id);
  if (!running_.empty()) return;
  ++request_retries_;
  RetryAfter(delay);
}

void request_executor::ArmHedge() {
  context_.timers.Cancel(hedge_timer_);
  hedge_timer_ = 0;
  const std::optional<common::duration> delay =
      policies_->retry->HedgeDelay(stage_key_);
  if (!delay || *delay >= Remaining()) return;
  hedge_timer_ = context_.timers.Schedule(*delay, [self = shared_from_this()] {
    self->hedge_timer_ = 0;
    self->OnHedgeDue();
  });
}

void request_executor::OnHedgeDue() {
  // A stream that has begun is never duplicated.
  if (ended_ || running_.size() != 1 || !stream_.empty()) return;
  const target_view* chosen = ChooseTarget();
  if (chosen == nullptr) return;
  if (!policies_->retry->TakeHedge(Question(result_code::kOk))) return;
  common::Metrics().Count("wisteria_hedges_total", {{"stage", Stage().name}});
  Dispatch(chosen->id, chosen->incarnation, "", true);
}

void request_executor::CancelOthers(std::string_view attempt_id) {
  for (const std::string& other : running_.Others(attempt_id)) {
    context_.attempts.Cancel(other);
    EndAttempt(other);
  }
}

void request_executor::NoteAttempt(const running_attempt& attempt,
                                   result_code code) {
  policies_->OnAttempt(context_.targets, Stage().pool, attempt.target,
                       stage_key_, code,
                       context_.clock.Now() - attempt.started);
}

void request_executor::EndAttempt(const std::string& attempt_id) {
  const running_attempt* attempt = running_.Find(attempt_id);
  if (attempt == nullptr) return;
  context_.timers.Cancel(attempt->timeout_timer);
  target_view* view = context_.targets.Find(attempt->target);
  if (view != nullptr && view->local_in_flight > 0) --view->local_in_flight;
  common::span_record span;
  span.context = attempt->trace;
  span.name = "attempt " + Stage().name;
  span.start_us = attempt->started_wall_us;
  span.end_us = context_.clock.WallMicros();
  span.attributes = {{"target", attempt->target},
                     {"request_id", description_.id}};
  common::EmitSpan(span);
  running_.Remove(attempt_id);
}

void request_executor::OnChunk(std::string_view attempt_id,
                               std::string_view data) {
  running_attempt* attempt = running_.Find(attempt_id);
  if (ended_ || attempt == nullptr) return;
  attempt->progressed = context_.clock.Now();
  // The first attempt that streams is the one whose stream is used.
  if (running_.size() > 1) CancelOthers(attempt_id);
  stream_.append(data);
  if (Stage().streamed) sink_->OnData(data);
}

void request_executor::OnOutcome(const outcome_message& outcome) {
  const running_attempt* attempt = running_.Find(outcome.attempt_id);
  if (attempt == nullptr) return;
  const std::string target = attempt->target;
  NoteAttempt(*attempt, outcome.code);
  EndAttempt(outcome.attempt_id);
  if (outcome.code != result_code::kOk) {
    StageFailed(outcome);
    return;
  }
  CancelOthers(outcome.attempt_id);
  policies_->retry->OnSuccess(description_.organisation, stage_key_);
  common::Metrics().Observe(
      "wisteria_stage_seconds", context_.clock.Now() - stage_started_,
      {{"stage", Stage().name}, {"pool", Stage().pool}, {"outcome", "ok"}});
  stage_report report;
  report.stage = Stage().name;
  report.target = target;
  report.attempts = attempts_made_;
  report.took = context_.clock.Now() - stage_started_;
  report.target_us = outcome.target_us;
  report.result = Stage().streamed ? json(stream_).dump() : outcome.result;
  if (Stage().idempotent) {
    reports_.push_back(report);
    StageDone(report.result);
    return;
  }
  operation_done_ = true;
  reservation_.state = operation_state::kDone;
  reservation_.result = outcome.result;
  reports_.push_back(report);
  context_.operations.Settle(
      OperationRowKey(description_.organisation, description_.idempotency_key),
      reservation_, reservation_version_, context_.clock.Now() + kSettleLimit,
      [self = shared_from_this(), result = report.result](bool) {
        self->StageDone(result);
      });
}

void request_executor::StageDone(const std::string& result) {
  if (ended_) return;
  if (reports_.size() <= stage_index_) {
    stage_report report;
    report.stage = Stage().name;
    report.target = "recorded";
    report.result = result;
    reports_.push_back(report);
  }
  ++stage_index_;
  if (stage_index_ < description_.plan.stages.size()) {
    StartStage();
    return;
  }
  request_result done;
  done.result = reports_.back().result;
  Finish(std::move(done));
}

void request_executor::StageFailed(const outcome_message& outcome) {
  common::Metrics().Count(
      "wisteria_attempts_failed_total",
      {{"stage", Stage().name}, {"code", common::Describe(outcome.code).name}});
  if (!Stage().idempotent) {
    if (!outcome.begun) {
      ReleaseReservation(outcome.code, outcome.reason);
      return;
    }
    Fail(result_code::kOperationUnknown, outcome.reason,
         request_fate::kUnknown);
    return;
  }
  if (!running_.empty()) return;  // the other attempt may still end well
  std::optional<common::duration> delay;
  if (common::Describe(outcome.code).retryable) {
    delay = policies_->retry->Retry(Question(outcome.code));
  }
  if (!delay) {
    Fail(outcome.code, outcome.reason, request_fate::kNotRun);
    return;
  }
  ++request_retries_;
  RetryAfter(*delay);
}

retry_question request_executor::Question(result_code code) const {
  retry_question question;
  question.organisation = description_.organisation;
  question.stage = stage_key_;
  question.code = code;
  question.stage_attempts = attempts_made_;
  question.request_retries = request_retries_;
  question.remaining = Remaining();
  question.deferrable = description_.plan.deferrable;
  return question;
}

void request_executor::ReleaseReservation(result_code code,
                                          const std::string& reason) {
  reservation_.state = operation_state::kNotRun;
  context_.operations.Settle(
      OperationRowKey(description_.organisation, description_.idempotency_key),
      reservation_, reservation_version_, context_.clock.Now() + kSettleLimit,
      [self = shared_from_this(), code, reason](bool settled) {
        if (self->ended_) return;
        self->operation_dispatched_ = false;
        if (!settled || !common::Describe(code).retryable) {
          self->Fail(code, reason, request_fate::kNotRun);
          return;
        }
        self->RetryLater();
      });
}

void request_executor::RetryLater() {
  RetryAfter(policies_->retry->Wait(waits_++));
}

void request_executor::RetryAfter(common::duration delay) {
  if (ended_) return;
  if (delay == common::duration::zero()) {
    TryStage();
    return;
  }
  if (Remaining() <= delay) return;  // the deadline timer ends it
  context_.timers.Cancel(retry_timer_);
  retry_timer_ = context_.timers.Schedule(delay, [self = shared_from_this()] {
    self->retry_timer_ = 0;
    self->TryStage();
  });
}

void request_executor::OnLost(std::string_view attempt_id) {
  const running_attempt* attempt = running_.Find(attempt_id);
  if (attempt == nullptr) return;
  NoteAttempt(*attempt, result_code::kTargetLost);
  EndAttempt(std::string(attempt_id));
  outcome_message outcome;
  outcome.code = result_code::kTargetLost;
  outcome.reason = "the agent went away";
  outcome.begun = true;
  StageFailed(outcome);
}

void request_executor::OnRevokeAnswer(const revoke_answer_message& answer) {
  if (running_.Find(answer.attempt_id) == nullptr) return;
  if (answer.begun || !answer.known) return;  // its outcome will come
  EndAttempt(answer.attempt_id);
  ReleaseReservation(result_code::kDeadlineExceeded, "revoked");
}

void request_executor::OnDeadline() {
  if (ended_) return;
  const bool operation = operation_dispatched_ && !operation_done_;
  if (!operation) {
    Fail(result_code::kDeadlineExceeded, "the deadline passed",
         operation_done_ ? request_fate::kDone : request_fate::kNotRun);
    return;
  }
  Fail(result_code::kOperationUnknown, "the operation did not end in time",
       request_fate::kUnknown);
}

void request_executor::Abandon() {
  if (ended_ || !Stage().idempotent) return;
  Fail(result_code::kCancelled, "the caller went away", request_fate::kNotRun);
}

void request_executor::Fail(result_code code, const std::string& reason,
                            request_fate fate) {
  request_result result;
  result.code = code;
  result.reason = reason;
  result.fate = fate;
  Finish(std::move(result));
}

void request_executor::Finish(request_result result) {
  common::CheckInvariant(!ended_, "request_ends_once", description_.id);
  ended_ = true;
  context_.timers.Cancel(deadline_timer_);
  context_.timers.Cancel(retry_timer_);
  context_.timers.Cancel(hedge_timer_);
  if (stage_index_ < description_.plan.stages.size() && Stage().idempotent) {
    CancelOthers("");
  }
  result.stages = reports_;
  sink_->OnEnd(result);
}

std::string request_executor::StageInput() const {
  json input = {{"request", ParseOrText(description_.body)}};
  json results = json::object();
  for (const stage_report& report : reports_) {
    results[report.stage] = ParseOrText(report.result);
  }
  input["results"] = results;
  return input.dump();
}

}  // namespace wisteriadale::core
