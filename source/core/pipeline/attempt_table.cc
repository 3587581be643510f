#include "core/pipeline/attempt_table.h"

#include "common/invariant.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kRevokeTimeout = std::chrono::milliseconds(300);
// An agent that retains the stream sends the rest after the first resume.
constexpr uint32_t kMaxResumesWithoutProgress = 4;

token_status StatusOf(const revoke_answer_message& answer) {
  if (!answer.known) return token_status::kUnknown;
  return answer.begun ? token_status::kBegun : token_status::kNeverRuns;
}

}  // namespace

bool attempt_table::Start(std::string_view target, uint64_t incarnation,
                          const execute_message& execute,
                          std::weak_ptr<attempt_observer> observer) {
  if (!sender_.Send(target, execute)) return false;
  attempt entry;
  entry.target = target;
  entry.organisation = execute.organisation;
  entry.operation_token = execute.operation_token;
  entry.token_window = execute.token_window;
  entry.incarnation = incarnation;
  entry.received = execute.stream_prefix.size();
  entry.observer = std::move(observer);
  const bool added = attempts_.emplace(execute.attempt_id, entry).second;
  common::CheckInvariant(added, "attempt_id_unique", execute.attempt_id);
  by_target_[entry.target].insert(execute.attempt_id);
  return true;
}

void attempt_table::Cancel(std::string_view attempt_id) {
  const auto found = attempts_.find(std::string(attempt_id));
  if (found == attempts_.end()) return;
  sender_.Send(found->second.target, cancel_message{std::string(attempt_id)});
  Erase(std::string(attempt_id));
}

void attempt_table::Revoke(std::string_view target, std::string_view token,
                           uint64_t window,
                           std::function<void(token_status)> handler) {
  const std::string name(token);
  pending_revoke& pending = revokes_[name];
  pending.handlers.push_back(std::move(handler));
  sender_.Send(target, revoke_message{"", name, window});
  if (pending.timer != 0) return;
  pending.timer = timers_.Schedule(kRevokeTimeout, [this, name] {
    CompleteRevoke(name, token_status::kUnknown);
  });
}

void attempt_table::OnRevokeAnswer(std::string_view,
                                   const revoke_answer_message& answer) {
  CompleteRevoke(answer.operation_token, StatusOf(answer));
}

void attempt_table::CompleteRevoke(const std::string& token,
                                   token_status status) {
  const auto found = revokes_.find(token);
  if (found == revokes_.end()) return;
  const pending_revoke ended = std::move(found->second);
  revokes_.erase(found);
  timers_.Cancel(ended.timer);
  for (const std::function<void(token_status)>& handler : ended.handlers) {
    handler(status);
  }
}

std::vector<std::string> attempt_table::AttemptIdsOn(
    std::string_view target) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

void attempt_table::OnConnected(std::string_view target, uint64_t incarnation) {
  for (const std::string& id : AttemptIdsOn(target)) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    attempt& entry = found->second;
    timers_.Cancel(entry.lost_timer);
    entry.lost_timer = 0;
    entry.resume_pending = false;
    // A restarted agent has no record of the attempt.
    if (entry.incarnation != incarnation) {
      ReportLost(id);
    } else {
      SendResume(id, &entry);
    }
  }
}

void attempt_table::OnDisconnected(std::string_view target) {
  for (const std::string& id : AttemptIdsOn(target)) {
    attempt& entry = attempts_.at(id);
    if (entry.lost_timer != 0) continue;
    entry.lost_timer = timers_.Schedule(reconnect_limit_, [this, id] {
      const auto found = attempts_.find(id);
      if (found == attempts_.end()) return;
      found->second.lost_timer = 0;
      ReportLost(id);
    });
  }
}

void attempt_table::OnChunk(std::string_view target,
                            const chunk_message& chunk) {
  attempt* entry = Match(target, chunk.attempt_id, chunk.organisation);
  if (entry == nullptr) return;
  if (chunk.offset > entry->received) {
    // Bytes are missing, and the agent still retains them. One resume brings
    // all that follow, so further out-of-order chunks send none.
    common::Metrics().Count("wisteria_chunks_out_of_order_total");
    if (!entry->resume_pending) ResumeOrTruncate(chunk.attempt_id, entry);
    return;
  }
  const uint64_t end = chunk.offset + chunk.data.size();
  if (end <= entry->received) {
    common::Metrics().Count("wisteria_chunks_repeated_total");
    return;
  }
  const std::string_view new_data =
      std::string_view(chunk.data).substr(entry->received - chunk.offset);
  entry->received = end;
  entry->resume_pending = false;
  entry->resumes_without_progress = 0;
  const std::shared_ptr<attempt_observer> observer = entry->observer.lock();
  if (observer) observer->OnChunk(chunk.attempt_id, new_data);
}

void attempt_table::OnOutcome(std::string_view target,
                              const outcome_message& outcome) {
  attempt* entry = Match(target, outcome.attempt_id, outcome.organisation);
  if (entry == nullptr) return;
  if (outcome.code == common::result_code::kOk) {
    if (outcome.stream_bytes > entry->received) {
      ResumeOrTruncate(outcome.attempt_id, entry);
      return;
    }
    if (outcome.stream_bytes < entry->received) {
      EndTruncated(outcome.attempt_id);
      return;
    }
  }
  const std::shared_ptr<attempt_observer> observer = entry->observer.lock();
  Erase(outcome.attempt_id);
  if (observer) observer->OnOutcome(outcome);
}

void attempt_table::ResumeOrTruncate(const std::string& attempt_id,
                                     attempt* entry) {
  if (entry->resumes_without_progress >= kMaxResumesWithoutProgress) {
    EndTruncated(attempt_id);
    return;
  }
  ++entry->resumes_without_progress;
  SendResume(attempt_id, entry);
}

void attempt_table::EndTruncated(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  common::Metrics().Count("wisteria_answers_cut_total");
  outcome_message truncated;
  truncated.attempt_id = attempt_id;
  truncated.organisation = found->second.organisation;
  truncated.code = common::result_code::kAnswerCut;
  truncated.reason = "the stream's length differs from the stated one";
  truncated.begun = true;
  const std::shared_ptr<attempt_observer> observer =
      found->second.observer.lock();
  sender_.Send(found->second.target, cancel_message{attempt_id});
  Erase(attempt_id);
  if (observer) observer->OnOutcome(truncated);
}

void attempt_table::Erase(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  timers_.Cancel(found->second.lost_timer);
  const auto at = by_target_.find(found->second.target);
  at->second.erase(attempt_id);
  if (at->second.empty()) by_target_.erase(at);
  attempts_.erase(found);
}

attempt_table::attempt* attempt_table::Match(std::string_view target,
                                             const std::string& attempt_id,
                                             std::string_view organisation) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) {
    common::Metrics().Count("wisteria_results_late_total");
    return nullptr;
  }
  attempt& entry = found->second;
  if (entry.organisation != organisation || entry.target != target) {
    common::Metrics().Count("wisteria_results_foreign_total");
    common::Log(
        common::log_channel::kRequest, common::log_level::kError,
        "dropped a result of the wrong target or organisation: target " +
            std::string(target) + ", attempt " + attempt_id);
    return nullptr;
  }
  return &entry;
}

size_t attempt_table::CountOnTarget(std::string_view target) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end() ? 0 : found->second.size();
}

void attempt_table::ReportLost(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  const std::shared_ptr<attempt_observer> observer =
      found->second.observer.lock();
  Erase(attempt_id);
  if (observer) observer->OnLost(attempt_id);
}

void attempt_table::SendResume(const std::string& attempt_id, attempt* entry) {
  entry->resume_pending = true;
  sender_.Send(entry->target,
               resume_message{attempt_id, entry->organisation, entry->received,
                              entry->operation_token, entry->token_window});
}

}  // namespace wisteriadale::core
