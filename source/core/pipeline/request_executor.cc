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

/// Requests whose bodies share these leading bytes count as sharing a prompt
/// prefix.
constexpr size_t kPrefixBytes = 256;

/// @return a key that is the same for requests likely to share a prompt prefix
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
    executor_dependencies& dependencies, request_description description,
    std::shared_ptr<request_sink> sink) {
  return std::shared_ptr<request_executor>(new request_executor(
      dependencies, std::move(description), std::move(sink)));
}

void request_executor::Start() {
  deadline_ = router_.clock.Now() + description_.deadline;
  policies_ = router_.policies.GetOrCreate(
      description_.configuration_in_force->Preset());
  deadline_timer_ = router_.timers.Schedule(description_.deadline,
                                            [self = shared_from_this()] {
                                              self->deadline_timer_ = 0;
                                              self->OnDeadline();
                                            });
  prefix_key_ = PrefixKey(description_);
  if (!description_.plan.HasNonIdempotentStage()) {
    StartStage();
    return;
  }
  // No stage runs before the row shows that the key is free or has a result.
  operation_ = std::make_shared<operation_coordinator>(
      operation_dependencies{router_.clock, router_.timers, router_.attempts,
                             router_.operations},
      OperationRowKey(description_.organisation, description_.idempotency_key),
      description_.digest, weak_from_this());
  operation_->LoadRow();
}

const pipeline_stage& request_executor::Stage() const {
  return description_.plan.stages[stage_index_];
}

common::duration request_executor::Remaining() const {
  return deadline_ - router_.clock.Now();
}

void request_executor::StartStage() {
  stage_key_ = StageKey(description_.plan, stage_index_);
  attempts_made_ = 0;
  backoffs_ = 0;
  tried_targets_.clear();
  stream_.clear();
  stage_started_ = router_.clock.Now();
  router_.timers.Cancel(hedge_timer_);
  hedge_timer_ = 0;
  if (!ShouldStartStage()) {
    FailUnfinished(result_code::kDeadlineExceeded,
                   "the remaining stages take longer than the remaining time");
    return;
  }
  TryStage();
}

bool request_executor::ShouldStartStage() const {
  // An operation's result may arrive after the deadline timer has fired, and
  // then nothing would end the stages that follow.
  if (Remaining() <= common::duration::zero()) return false;
  // Admission has checked the first stage; a request with an operation is never
  // given up early.
  if (stage_index_ == 0 || description_.plan.deferrable) return true;
  if (description_.plan.HasNonIdempotentStage()) return true;
  return policies_->deadlines->CanFinish(description_.plan, stage_index_,
                                         Remaining());
}

target_view* request_executor::ChooseTarget() {
  const target_pool* pool = router_.targets.Pool(Stage().pool);
  if (pool == nullptr) return nullptr;
  if (CrashStatus() == quarantine_status::kSuspect) return SuspectTarget(*pool);
  routing_request request;
  request.pool = Stage().pool;
  request.organisation = description_.organisation;
  request.excluded = tried_targets_;
  if (Stage().prefix_affinity) request.prefix_key = prefix_key_;
  target_view* chosen = policies_->routing->Choose(*pool, request);
  if (chosen != nullptr || !running_.empty()) return chosen;
  // Every target was tried once; another round is better than failing.
  request.excluded = {};
  return policies_->routing->Choose(*pool, request);
}

target_view* request_executor::SuspectTarget(const target_pool& pool) const {
  // All routers send a suspect to the same target (rendezvous hashing), whose
  // agent runs its attempts one at a time and remembers how the first ended.
  const uint64_t seed = common::Hash64(description_.digest);
  target_view* best = nullptr;
  uint64_t best_hash = 0;
  for (target_view* view : pool.members) {
    if (!view->Usable()) continue;
    const uint64_t hash = common::Hash64(view->id, seed);
    if (best != nullptr && hash >= best_hash) continue;
    best = view;
    best_hash = hash;
  }
  return best;
}

quarantine_status request_executor::CrashStatus() const {
  if (router_.quarantined_requests == nullptr) return quarantine_status::kClear;
  return router_.quarantined_requests->StatusOf(description_.digest);
}

void request_executor::ReportCrash(const outcome_message& outcome,
                                   bool exclusive) {
  if (router_.quarantined_requests == nullptr) return;
  const bool crashed = !outcome.suspect_digests.empty();
  if (outcome.code == result_code::kDigestQuarantined ||
      (crashed && exclusive)) {
    router_.quarantined_requests->OnExclusiveCrash(description_.digest);
  } else if (crashed) {
    router_.quarantined_requests->OnCrash(outcome.suspect_digests);
  } else if (exclusive && outcome.code == result_code::kOk) {
    router_.quarantined_requests->OnExclusiveSuccess(description_.digest);
  }
}

void request_executor::TryStage() {
  if (ended_) return;
  if (!Stage().idempotent) {
    TryOperation();
    return;
  }
  if (CrashStatus() == quarantine_status::kQuarantined) {
    FailUnfinished(result_code::kDigestQuarantined, "");
    return;
  }
  const target_view* chosen = ChooseTarget();
  if (chosen == nullptr) {
    RetryLater();
    return;
  }
  Dispatch(chosen->id, chosen->incarnation, nullptr);
}

void request_executor::Dispatch(const std::string& target, uint64_t incarnation,
                                const operation_record* reservation,
                                bool hedge) {
  execute_message execute;
  execute.attempt_id = router_.random.HexId();
  execute.request_id = description_.id;
  execute.organisation = description_.organisation;
  execute.organisation_weight = description_.organisation_weight;
  execute.pipeline = description_.plan.name;
  execute.stage = Stage().name;
  execute.input = StageInput();
  execute.digest = description_.digest;
  execute.remaining =
      std::chrono::duration_cast<common::milliseconds>(Remaining());
  execute.deferrable = description_.plan.deferrable;
  execute.exclusive = CrashStatus() == quarantine_status::kSuspect;
  execute.stream_prefix = stream_;
  if (Stage().prefix_affinity) execute.prefix_key = prefix_key_;
  execute.configuration_version = description_.configuration_in_force->version;
  execute.trace = common::ChildOf(description_.trace, router_.random);
  if (reservation != nullptr) {
    execute.operation_token = reservation->token;
    execute.expected_incarnation = incarnation;
    execute.token_window = reservation->token_window;
    execute.operation_key = OperationRowKey(description_.organisation,
                                            description_.idempotency_key);
  }
  ++attempts_made_;
  tried_targets_.push_back(target);
  const bool sent =
      router_.attempts.Start(target, incarnation, execute, weak_from_this());
  if (!sent) {
    if (reservation != nullptr) {
      dispatch_error_ = result_code::kPeerLost;
      operation_->OnNeverRuns();
    } else if (running_.empty()) {
      RetryLater();
    }
    return;
  }
  if (reservation != nullptr) {
    operation_->OnDispatched();
    keep_alive_ = shared_from_this();
  }
  running_attempt started;
  started.id = execute.attempt_id;
  started.target = target;
  started.trace = execute.trace;
  started.started = router_.clock.Now();
  started.last_progress = started.started;
  started.started_wall_us = router_.clock.WallMicros();
  started.hedge = hedge;
  started.exclusive = execute.exclusive;
  running_attempt& attempt = running_.Add(std::move(started));
  target_view* view = router_.targets.Find(target);
  if (view != nullptr) ++view->local_in_flight;
  if (!Stage().idempotent) return;
  ScheduleTimeout(&attempt, policies_->deadlines->AttemptTimeout(
                                description_.plan, stage_index_, Remaining()));
  if (!hedge && !execute.exclusive) ScheduleHedge();
}

void request_executor::OnChunk(std::string_view attempt_id,
                               std::string_view data) {
  running_attempt* attempt = running_.Find(attempt_id);
  if (ended_ || attempt == nullptr) return;
  attempt->last_progress = router_.clock.Now();
  // The first attempt that streams wins.
  if (running_.size() > 1) CancelOthers(attempt_id);
  stream_.append(data);
  if (Stage().streamed) sink_->OnData(data);
}

void request_executor::OnOutcome(const outcome_message& outcome) {
  const running_attempt* attempt = running_.Find(outcome.attempt_id);
  if (attempt == nullptr) return;
  const std::string target = attempt->target;
  ReportCrash(outcome, attempt->exclusive);
  RecordAttempt(*attempt, outcome.code);
  EndAttempt(outcome.attempt_id);
  if (outcome.code != result_code::kOk) {
    OnStageFailed(outcome);
    return;
  }
  CancelOthers(outcome.attempt_id);
  const double part =
      1.0 / static_cast<double>(description_.plan.stages.size());
  policies_->retry->OnSuccess(description_.organisation, stage_key_, part);
  common::Metrics().Observe(
      "wisteria_stage_seconds", router_.clock.Now() - stage_started_,
      {{"stage", Stage().name}, {"pool", Stage().pool}, {"outcome", "ok"}});
  stage_report report;
  report.stage = Stage().name;
  report.target = target;
  report.attempts = attempts_made_;
  report.took = router_.clock.Now() - stage_started_;
  report.target_us = outcome.target_us;
  report.result = Stage().streamed ? json(stream_).dump() : outcome.result;
  if (Stage().idempotent) {
    reports_.push_back(report);
    OnStageDone(report.result);
    return;
  }
  if (!ended_) reports_.push_back(report);
  operation_->OnCompleted(report.result);
}

void request_executor::OnStageDone(const std::string& result) {
  if (ended_) return;
  const bool reported =
      !reports_.empty() && reports_.back().stage == Stage().name;
  if (!reported) {
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
  done.replayed = replayed_;
  Finish(std::move(done));
}

void request_executor::OnStageFailed(const outcome_message& outcome) {
  common::Metrics().Count(
      "wisteria_attempts_failed_total",
      {{"stage", Stage().name}, {"code", common::Describe(outcome.code).name}});
  if (!Stage().idempotent) {
    OnOperationFailed(outcome);
    return;
  }
  if (!running_.empty()) return;  // the other attempt may still succeed
  if (CrashStatus() == quarantine_status::kQuarantined) {
    FailUnfinished(result_code::kDigestQuarantined,
                   "the request crashed targets");
    return;
  }
  // A suspect gets an exclusive run whatever the retry budget.
  if (!outcome.suspect_digests.empty() &&
      CrashStatus() == quarantine_status::kSuspect) {
    ++request_retries_;
    RetryAfter(common::duration::zero());
    return;
  }
  std::optional<common::duration> delay;
  if (common::Describe(outcome.code).retryable) {
    delay = policies_->retry->RetryDelay(Context(outcome.code));
  }
  if (!delay) {
    FailUnfinished(outcome.code, outcome.reason);
    return;
  }
  ++request_retries_;
  RetryAfter(*delay);
}

void request_executor::OnOperationFailed(const outcome_message& outcome) {
  if (!outcome.begun) {
    dispatch_error_ = outcome.code;
    operation_->OnNeverRuns();
    return;
  }
  if (ended_) return;
  if (outcome.code == result_code::kOperationInProgress) {
    operation_->OnAttemptLost();
    return;
  }
  Fail(result_code::kOperationUnknown, outcome.reason,
       execution_status::kUnknown);
}

retry_context request_executor::Context(result_code code) const {
  retry_context retry_input;
  retry_input.organisation = description_.organisation;
  retry_input.stage = stage_key_;
  retry_input.code = code;
  retry_input.stage_attempts = attempts_made_;
  retry_input.request_retries = request_retries_;
  retry_input.remaining = Remaining();
  retry_input.deferrable = description_.plan.deferrable;
  return retry_input;
}

void request_executor::RetryLater() {
  RetryAfter(policies_->retry->NoTargetDelay(backoffs_++));
}

void request_executor::RetryAfter(common::duration delay) {
  if (ended_) return;
  if (delay == common::duration::zero()) {
    TryStage();
    return;
  }
  if (Remaining() <= delay) {
    // The deadline timer ends the request, unless it has fired already.
    if (deadline_timer_ == 0 && !operation_) {
      FailUnfinished(result_code::kDeadlineExceeded, "the deadline passed");
    }
    return;
  }
  router_.timers.Cancel(retry_timer_);
  retry_timer_ = router_.timers.Schedule(delay, [self = shared_from_this()] {
    self->retry_timer_ = 0;
    self->TryStage();
  });
}

void request_executor::OnLost(std::string_view attempt_id) {
  const running_attempt* attempt = running_.Find(attempt_id);
  if (attempt == nullptr) return;
  RecordAttempt(*attempt, result_code::kTargetLost);
  EndAttempt(std::string(attempt_id));
  if (!Stage().idempotent) {
    if (!ended_) operation_->OnAttemptLost();
    return;
  }
  outcome_message outcome;
  outcome.code = result_code::kTargetLost;
  outcome.reason = "the connection to the agent was lost";
  outcome.begun = true;
  OnStageFailed(outcome);
}

void request_executor::OnDeadline() {
  if (ended_ || AwaitsRecord()) return;
  if (operation_ && operation_->dispatched()) {
    operation_->RevokeToken([self = shared_from_this()](token_status status) {
      self->OnTokenRevoked(status);
    });
    return;
  }
  FailUnfinished(result_code::kDeadlineExceeded, "the deadline passed");
}

bool request_executor::AwaitsRecord() const {
  // The answer is complete and is sent as soon as it is recorded.
  const bool last = stage_index_ + 1 == description_.plan.stages.size();
  return operation_ && operation_->done() && last && !Stage().idempotent;
}

void request_executor::OnTokenRevoked(token_status status) {
  if (ended_ || AwaitsRecord()) return;
  if (operation_->dispatched() && status == token_status::kNeverRuns) {
    for (const std::string& id : running_.Others("")) {
      router_.attempts.Cancel(id);
      EndAttempt(id);
    }
    operation_->OnNeverRuns();
  }
  FailUnfinished(result_code::kDeadlineExceeded, "the deadline passed");
}

void request_executor::OnCallerDisconnected() {
  if (ended_ || !Stage().idempotent) return;
  FailUnfinished(result_code::kCancelled, "the caller disconnected");
}

void request_executor::FailUnfinished(result_code code,
                                      const std::string& reason) {
  if (!operation_) {
    Fail(code, reason, execution_status::kNotRun);
    return;
  }
  StopWork();
  operation_->ConfirmStatus([self = shared_from_this(), code,
                             reason](execution_status status) {
    const bool unknown = status == execution_status::kUnknown;
    self->Fail(unknown ? result_code::kOperationUnknown : code, reason, status);
  });
}

void request_executor::Fail(result_code code, const std::string& reason,
                            execution_status status) {
  request_result result;
  result.code = code;
  result.reason = reason;
  result.execution = status;
  Finish(std::move(result));
}

void request_executor::Finish(request_result result) {
  common::CheckInvariant(!answered_, "request_ends_once", description_.id);
  answered_ = true;
  const std::shared_ptr<request_executor> self = shared_from_this();
  if (!ended_) StopWork();
  result.stages = reports_;
  sink_->OnEnd(result);
  if (running_.empty()) keep_alive_.reset();
}

void request_executor::StopWork() {
  ended_ = true;
  router_.timers.Cancel(deadline_timer_);
  router_.timers.Cancel(retry_timer_);
  router_.timers.Cancel(hedge_timer_);
  if (stage_index_ < description_.plan.stages.size() && Stage().idempotent) {
    CancelOthers("");
  }
  if (operation_) operation_->Detach();
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
