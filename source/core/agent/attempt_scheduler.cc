#include "core/agent/attempt_scheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/invariant.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

/// Time that an attempt must have left, in multiples of the smoothed latency.
constexpr double kRequiredTimeFactor = 1.0;
/// Weight of the newest run in the smoothed latency.
constexpr double kLatencySmoothing = 0.1;
/// Fits the 32 bits of the load report.
constexpr int64_t kMaxReportedWaitUs = 2000000000;

}  // namespace

void attempt_scheduler::OnExecute(router_connection_id link,
                                  const execute_message& execute) {
  const auto known = attempts_.find(execute.attempt_id);
  if (known != attempts_.end()) {
    OnResume(link, {execute.attempt_id, execute.organisation, 0});
    return;
  }
  if (!Admit(link, execute)) return;
  attempt& entry = attempts_[execute.attempt_id];
  entry.execute = execute;
  entry.link = link;
  entry.deadline = clock_.Now() + execute.remaining;
  entry.stream = execute.stream_prefix;
  queue_->Push(QueueEntry(entry));
  StartQueued();
}

bool attempt_scheduler::AdmitToken(router_connection_id link,
                                   const execute_message& execute) {
  const std::string& token = execute.operation_token;
  if (execute.expected_incarnation != options_.incarnation) {
    Refuse(link, execute, result_code::kIncarnationMismatch,
           "the agent restarted since the operation was reserved");
    return false;
  }
  switch (tokens_.StateOf(token, execute.token_window)) {
    case token_state::kNew:
      break;
    case token_state::kNeverRuns:
      Refuse(link, execute, result_code::kOperationNotRun, "revoked");
      return false;
    default:
      // A token runs at most once, whatever attempt id carries it. This answer
      // does not tell whether it ran.
      Refuse(link, execute, result_code::kOperationInProgress,
             "the token was already dispatched", true);
      return false;
  }
  if (!tokens_.IsDispatchable(execute.token_window)) {
    tokens_.Set(token, token_state::kNeverRuns);
    Refuse(link, execute, result_code::kOperationNotRun,
           "the operation was dispatched too late");
    return false;
  }
  return true;
}

bool attempt_scheduler::Admit(router_connection_id link,
                              const execute_message& execute) {
  const std::string& token = execute.operation_token;
  if (!token.empty() && !AdmitToken(link, execute)) return false;
  const uint64_t window = tokens_.CurrentWindow();
  if (tokens_.StateOf(execute.attempt_id, window) != token_state::kNew) {
    Refuse(link, execute, result_code::kOperationNotRun,
           "the attempt was given up before it arrived");
    return false;
  }
  if (draining_) {
    Refuse(link, execute, result_code::kDraining, "the target is draining");
    return false;
  }
  if (!AdmitToTarget(link, execute)) return false;
  ExpireOverdue();
  attempt offered;
  offered.execute = execute;
  offered.deadline = clock_.Now() + execute.remaining;
  const std::optional<queue_refusal> refusal =
      queue_->Refusal(QueueEntry(offered), QueueLoad());
  if (refusal) {
    Refuse(link, execute, refusal->code, refusal->reason);
    return false;
  }
  if (!token.empty() && !tokens_.Set(token, token_state::kQueued)) {
    Refuse(link, execute, result_code::kOverloaded, "too many operations");
    return false;
  }
  return true;
}

bool attempt_scheduler::AdmitToTarget(router_connection_id link,
                                      const execute_message& execute) {
  if (quarantined_.contains(execute.digest)) {
    Refuse(link, execute, result_code::kDigestQuarantined,
           "the request crashed the target in an exclusive run");
    return false;
  }
  if (!target_up_) {
    Refuse(link, execute, result_code::kNoTarget, "the target has crashed");
    return false;
  }
  return true;
}

void attempt_scheduler::Refuse(router_connection_id link,
                               const execute_message& execute, result_code code,
                               std::string_view reason, bool begun) {
  common::Metrics().Count("wisteria_agent_refused_total",
                          {{"code", common::Describe(code).name}});
  outcome_message outcome;
  outcome.attempt_id = execute.attempt_id;
  outcome.organisation = execute.organisation;
  outcome.code = code;
  outcome.reason = reason;
  outcome.begun = begun;
  outcome.load = Load();
  routers_.Send(link, outcome);
}

void attempt_scheduler::SetPolicies(std::unique_ptr<concurrency_limit> limit,
                                    std::unique_ptr<attempt_queue> queue) {
  const queue_load load = QueueLoad();
  while (std::optional<queued_attempt> waiting = queue_->Pop(load)) {
    queue->Push(std::move(*waiting));
  }
  limit_ = std::move(limit);
  queue_ = std::move(queue);
  StartQueued();
}

queued_attempt attempt_scheduler::QueueEntry(const attempt& entry) {
  queued_attempt queued;
  queued.id = entry.execute.attempt_id;
  queued.organisation = entry.execute.organisation;
  queued.weight = entry.execute.organisation_weight;
  queued.deadline = entry.deadline;
  queued.deferrable = entry.execute.deferrable;
  queued.exclusive = entry.execute.exclusive;
  return queued;
}

queue_load attempt_scheduler::QueueLoad() const {
  queue_load load;
  load.now = clock_.Now();
  load.service_time = common::duration(static_cast<int64_t>(latency_us_));
  load.min_remaining = RequiredTime();
  load.running = running_;
  load.limit = limit_->Limit();
  return load;
}

size_t attempt_scheduler::QueuedCount() const {
  return queue_->size() + (exclusive_ ? 1 : 0);
}

std::optional<queued_attempt> attempt_scheduler::PopQueued() {
  if (exclusive_running_ || !target_up_) return std::nullopt;
  if (!exclusive_) {
    if (running_ >= limit_->Limit()) return std::nullopt;
    std::optional<queued_attempt> next = queue_->Pop(QueueLoad());
    if (!next || !next->exclusive) return next;
    exclusive_ = std::move(next);
  }
  // No other attempt starts until the target is idle for this one.
  if (running_ > 0) return std::nullopt;
  std::optional<queued_attempt> next = std::move(exclusive_);
  exclusive_.reset();
  return next;
}

void attempt_scheduler::StartQueued() {
  if (starting_) return;
  starting_ = true;
  ExpireOverdue();
  while (const std::optional<queued_attempt> next = PopQueued()) {
    const auto found = attempts_.find(next->id);
    if (found == attempts_.end()) continue;
    if (WouldMissDeadline(found->second)) {
      Expire(next->id);
      continue;
    }
    if (quarantined_.contains(found->second.execute.digest)) {
      End(&found->second,
          {result_code::kDigestQuarantined,
           "the request crashed the target in an exclusive run", "", false});
      continue;
    }
    exclusive_running_ = next->exclusive;
    Begin(&found->second);
  }
  starting_ = false;
}

bool attempt_scheduler::WouldMissDeadline(const attempt& entry) const {
  const common::time_point now = clock_.Now();
  if (now >= entry.deadline) return true;
  // An idle target accepts any attempt, so that the estimate can recover;
  // non-idempotent work is never dropped because of an estimate.
  if (running_ == 0 || !entry.execute.operation_token.empty()) return false;
  return now + RequiredTime() > entry.deadline;
}

common::duration attempt_scheduler::RequiredTime() const {
  return common::duration(
      static_cast<int64_t>(latency_us_ * kRequiredTimeFactor));
}

void attempt_scheduler::ExpireOverdue() {
  for (const queued_attempt& expired : queue_->RemoveExpired(clock_.Now())) {
    Expire(expired.id);
  }
}

void attempt_scheduler::Expire(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  End(&found->second, {result_code::kDeadlineExceeded,
                       "the deadline passed in the queue", "", false});
}

void attempt_scheduler::RemoveQueued(const std::string& attempt_id) {
  queue_->Erase(attempt_id);
  if (exclusive_ && exclusive_->id == attempt_id) exclusive_.reset();
}

void attempt_scheduler::Begin(attempt* entry) {
  entry->state = phase::kRunning;
  if (!entry->execute.operation_token.empty()) {
    tokens_.Set(entry->execute.operation_token, token_state::kBegun);
  }
  entry->started = clock_.Now();
  entry->outcome.begun = true;
  ++running_;
  entry->concurrency = running_;
  execute_message execute = entry->execute;
  execute.remaining = std::chrono::duration_cast<common::milliseconds>(
      entry->deadline - clock_.Now());
  target_.Run(execute, this);
}

void attempt_scheduler::OnTargetChunk(std::string_view attempt_id,
                                      std::string_view data) {
  const auto found = attempts_.find(std::string(attempt_id));
  if (found == attempts_.end()) return;
  attempt& entry = found->second;
  chunk_message chunk;
  chunk.attempt_id = attempt_id;
  chunk.organisation = entry.execute.organisation;
  chunk.offset = entry.stream.size();
  chunk.data = data;
  entry.stream.append(data);
  routers_.Send(entry.link, chunk);
}

void attempt_scheduler::RecordCrash(attempt* entry) {
  if (!entry->crash_digests) {
    std::shared_ptr<std::vector<std::string>> digests =
        std::make_shared<std::vector<std::string>>();
    for (auto& [id, other] : attempts_) {
      if (other.state != phase::kRunning) continue;
      digests->push_back(other.execute.digest);
      other.crash_digests = digests;
    }
    common::Metrics().Count("wisteria_target_crashes_total");
    target_up_ = false;
    target_.CallWhenAvailable([this] {
      target_up_ = true;
      StartQueued();
    });
  }
  entry->outcome.suspect_digests = *entry->crash_digests;
  if (entry->execute.exclusive) quarantined_.insert(entry->execute.digest);
}

void attempt_scheduler::OnTargetResult(std::string_view attempt_id,
                                       const target_result& result) {
  const auto found = attempts_.find(std::string(attempt_id));
  if (found == attempts_.end()) return;
  attempt& entry = found->second;
  common::CheckInvariant(entry.state == phase::kRunning,
                         "result_of_running_attempt", attempt_id);
  --running_;
  if (entry.execute.exclusive) exclusive_running_ = false;
  const double took =
      static_cast<double>((clock_.Now() - entry.started).count());
  entry.outcome.target_us = static_cast<uint64_t>(took);
  // Failures are not counted: a target that fails fast must not look fast.
  if (result.code == result_code::kOk) {
    latency_us_ = latency_us_ == 0
                      ? took
                      : latency_us_ + kLatencySmoothing * (took - latency_us_);
  }
  limit_->OnResult(clock_.Now() - entry.started, entry.concurrency,
                   result.code == result_code::kOk);
  if (result.crashed) RecordCrash(&entry);
  End(&entry, result);
  StartQueued();
}

void attempt_scheduler::End(attempt* entry, const target_result& result) {
  entry->state = phase::kEnded;
  outcome_message& outcome = entry->outcome;
  outcome.attempt_id = entry->execute.attempt_id;
  outcome.organisation = entry->execute.organisation;
  outcome.code = result.code;
  outcome.reason = result.reason;
  outcome.result = result.result;
  outcome.stream_bytes = entry->stream.size();
  outcome.load = Load();
  routers_.Send(entry->link, outcome);
  ReportOperationEnd(*entry);
  Retain(entry);
  CheckDrained();
}

std::string attempt_scheduler::OperationResult(const attempt& entry) {
  if (!entry.outcome.result.empty() || entry.stream.empty()) {
    return entry.outcome.result;
  }
  using nlohmann::json;
  return json(entry.stream)
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void attempt_scheduler::ReportOperationEnd(const attempt& entry) {
  const execute_message& execute = entry.execute;
  if (execute.operation_token.empty()) return;
  if (!entry.outcome.begun) {
    tokens_.Set(execute.operation_token, token_state::kNeverRuns);
  }
  if (operation_observer_ == nullptr) return;
  // A run that failed may have taken effect: its row stays in doubt.
  const bool ran = entry.outcome.begun;
  if (ran && entry.outcome.code != result_code::kOk) return;
  operation_observer_->OnOperationEnded(execute, ran, OperationResult(entry));
}

void attempt_scheduler::Retain(attempt* entry) {
  timers_.Cancel(entry->timer);
  const std::string id = entry->execute.attempt_id;
  entry->timer =
      timers_.Schedule(options_.retention, [this, id] { Evict(id); });
  entry->execute.input = std::string();
  entry->execute.stream_prefix = std::string();
  entry->retained = entry->stream.size() + entry->outcome.result.size();
  retained_bytes_ += entry->retained;
  ended_.push_back(id);
  while (retained_bytes_ > options_.retained_bytes && ended_.size() > 1) {
    const std::string oldest = ended_.front();
    ended_.pop_front();
    Evict(oldest);
  }
}

void attempt_scheduler::OnCancel(const cancel_message& cancel) {
  const auto found = attempts_.find(cancel.attempt_id);
  if (found == attempts_.end()) {
    // The execute message may still be in flight on an older connection.
    tokens_.Set(cancel.attempt_id, token_state::kNeverRuns);
    return;
  }
  attempt& entry = found->second;
  if (entry.state == phase::kEnded) return;
  if (!entry.execute.operation_token.empty()) return;
  if (entry.state == phase::kRunning) {
    target_.Cancel(cancel.attempt_id);
    --running_;
    if (entry.execute.exclusive) exclusive_running_ = false;
  } else {
    RemoveQueued(cancel.attempt_id);
  }
  End(&entry, {result_code::kCancelled, "cancelled", "", false});
  StartQueued();
}

void attempt_scheduler::OnResume(router_connection_id link,
                                 const resume_message& resume) {
  const auto found = attempts_.find(resume.attempt_id);
  if (found == attempts_.end()) {
    ResumeUnknown(link, resume);
    return;
  }
  attempt& entry = found->second;
  if (entry.execute.organisation != resume.organisation) {
    common::Metrics().Count("wisteria_results_foreign_total");
    common::Log(common::log_channel::kRequest, common::log_level::kError,
                "refused to resume attempt " + resume.attempt_id +
                    " for another organisation");
    return;
  }
  entry.link = link;
  if (entry.state != phase::kEnded) {
    timers_.Cancel(entry.timer);
    entry.timer = 0;
  }
  SendFrom(entry, resume.offset);
}

void attempt_scheduler::ResumeUnknown(router_connection_id link,
                                      const resume_message& resume) {
  outcome_message outcome;
  outcome.attempt_id = resume.attempt_id;
  outcome.organisation = resume.organisation;
  outcome.code = result_code::kTargetLost;
  outcome.reason = "the attempt did not arrive";
  outcome.load = Load();
  // The execute message may still be in flight on an older connection.
  if (resume.operation_token.empty()) {
    tokens_.Set(resume.attempt_id, token_state::kNeverRuns);
  } else if (Revoke(resume.operation_token, resume.token_window) !=
             token_state::kNeverRuns) {
    outcome.code = result_code::kOperationInProgress;
    outcome.reason = "the operation's outcome is no longer retained";
    outcome.begun = true;
  }
  routers_.Send(link, outcome);
}

token_state attempt_scheduler::Revoke(std::string_view token, uint64_t window) {
  const token_state state = tokens_.StateOf(token, window);
  if (state != token_state::kNew && state != token_state::kQueued) return state;
  if (!tokens_.Set(token, token_state::kNeverRuns)) {
    return token_state::kExpired;
  }
  return token_state::kNeverRuns;
}

void attempt_scheduler::SendFrom(const attempt& entry, uint64_t offset) {
  if (offset < entry.stream.size()) {
    chunk_message chunk;
    chunk.attempt_id = entry.execute.attempt_id;
    chunk.organisation = entry.execute.organisation;
    chunk.offset = offset;
    chunk.data = entry.stream.substr(offset);
    routers_.Send(entry.link, chunk);
  }
  if (entry.state == phase::kEnded) routers_.Send(entry.link, entry.outcome);
}

void attempt_scheduler::OnRevoke(router_connection_id link,
                                 const revoke_message& revoke) {
  const token_state state = Revoke(revoke.operation_token, revoke.token_window);
  if (state == token_state::kNeverRuns) EndRevoked(revoke.operation_token);
  revoke_answer_message answer;
  answer.attempt_id = revoke.attempt_id;
  answer.operation_token = revoke.operation_token;
  answer.begun = state == token_state::kBegun;
  answer.known = state != token_state::kExpired;
  routers_.Send(link, answer);
}

void attempt_scheduler::EndRevoked(const std::string& token) {
  for (auto& [id, entry] : attempts_) {
    if (entry.state != phase::kQueued) continue;
    if (entry.execute.operation_token != token) continue;
    RemoveQueued(id);
    End(&entry, {result_code::kOperationNotRun, "revoked", "", false});
    return;
  }
}

void attempt_scheduler::OnLinkClosed(router_connection_id link) {
  for (auto& [id, entry] : attempts_) {
    if (entry.link != link || entry.state == phase::kEnded) continue;
    if (!entry.execute.operation_token.empty()) continue;
    timers_.Cancel(entry.timer);
    entry.timer = timers_.Schedule(options_.orphan_limit,
                                   [this, id = id] { OnCancel({id}); });
  }
}

void attempt_scheduler::Evict(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  timers_.Cancel(found->second.timer);
  retained_bytes_ -= found->second.retained;
  attempts_.erase(found);
  while (!ended_.empty() && !attempts_.contains(ended_.front())) {
    ended_.pop_front();
  }
}

void attempt_scheduler::Drain(std::function<void()> on_drained) {
  draining_ = true;
  on_drained_ = std::move(on_drained);
  CheckDrained();
}

void attempt_scheduler::EndDrain() {
  draining_ = false;
  on_drained_ = nullptr;
}

void attempt_scheduler::CheckDrained() {
  if (!draining_ || !on_drained_) return;
  if (running_ > 0 || QueuedCount() > 0) return;
  const std::function<void()> action = std::move(on_drained_);
  on_drained_ = nullptr;
  timers_.Schedule(common::duration(0), action);
}

load_report attempt_scheduler::Load() const {
  load_report load;
  load.in_flight = running_;
  load.queued = static_cast<uint32_t>(QueuedCount());
  load.limit = limit_->Limit();
  load.latency_us = static_cast<uint32_t>(latency_us_);
  const common::duration wait = queue_->EstimatedWait(QueueLoad());
  load.queue_wait_us = static_cast<uint32_t>(
      std::clamp<int64_t>(wait.count(), 0, kMaxReportedWaitUs));
  load.accepting = !draining_ && target_up_;
  load.token_window = tokens_.CurrentWindow();
  return load;
}

}  // namespace wisteriadale::core
