#include "core/pipeline/attempt_table.h"

#include <vector>

#include "common/invariant.h"
#include "common/log.h"
#include "common/metrics.h"

namespace wisteriadale::core {

bool attempt_table::Start(std::string_view target, uint64_t incarnation,
                          const execute_message& execute,
                          std::weak_ptr<attempt_observer> observer) {
  if (!sender_.Send(target, execute)) return false;
  attempt entry;
  entry.target = target;
  entry.organisation = execute.organisation;
  entry.incarnation = incarnation;
  entry.received = execute.stream_prefix.size();
  entry.observer = std::move(observer);
  const bool added = attempts_.emplace(execute.attempt_id, entry).second;
  common::CheckInvariant(added, "attempt_id_unique", execute.attempt_id);
  return true;
}

void attempt_table::Cancel(std::string_view attempt_id) {
  const auto found = attempts_.find(std::string(attempt_id));
  if (found == attempts_.end()) return;
  sender_.Send(found->second.target, cancel_message{std::string(attempt_id)});
  timers_.Cancel(found->second.lost_timer);
  attempts_.erase(found);
}

bool attempt_table::Revoke(std::string_view attempt_id,
                           std::string_view token) {
  const auto found = attempts_.find(std::string(attempt_id));
  if (found == attempts_.end()) return false;
  return sender_.Send(
      found->second.target,
      revoke_message{std::string(attempt_id), std::string(token)});
}

void attempt_table::OnConnected(std::string_view target, uint64_t incarnation) {
  std::vector<std::string> lost;
  for (auto& [id, entry] : attempts_) {
    if (entry.target != target) continue;
    timers_.Cancel(entry.lost_timer);
    entry.lost_timer = 0;
    // A restarted agent has forgotten the attempt.
    if (entry.incarnation != incarnation) {
      lost.push_back(id);
    } else {
      Resume(id, entry);
    }
  }
  for (const std::string& id : lost) Lose(id);
}

void attempt_table::OnDisconnected(std::string_view target) {
  for (auto& [id, entry] : attempts_) {
    if (entry.target != target || entry.lost_timer != 0) continue;
    entry.lost_timer = timers_.Schedule(reconnect_limit_, [this, id = id] {
      const auto found = attempts_.find(id);
      if (found == attempts_.end()) return;
      found->second.lost_timer = 0;
      Lose(id);
    });
  }
}

void attempt_table::OnChunk(std::string_view target,
                            const chunk_message& chunk) {
  attempt* entry = Match(target, chunk.attempt_id, chunk.organisation);
  if (entry == nullptr) return;
  if (chunk.offset > entry->received) {
    // A part is missing; the agent still holds it.
    common::Metrics().Count("wisteria_chunks_out_of_order_total");
    Resume(chunk.attempt_id, *entry);
    return;
  }
  const uint64_t end = chunk.offset + chunk.data.size();
  if (end <= entry->received) {
    common::Metrics().Count("wisteria_chunks_repeated_total");
    return;
  }
  const std::string_view fresh =
      std::string_view(chunk.data).substr(entry->received - chunk.offset);
  entry->received = end;
  const std::shared_ptr<attempt_observer> observer = entry->observer.lock();
  if (observer) observer->OnChunk(chunk.attempt_id, fresh);
}

void attempt_table::OnOutcome(std::string_view target,
                              const outcome_message& outcome) {
  attempt* entry = Match(target, outcome.attempt_id, outcome.organisation);
  if (entry == nullptr) return;
  const bool whole = outcome.stream_bytes <= entry->received;
  if (outcome.code == common::result_code::kOk && !whole) {
    Resume(outcome.attempt_id, *entry);
    return;
  }
  const std::shared_ptr<attempt_observer> observer = entry->observer.lock();
  timers_.Cancel(entry->lost_timer);
  attempts_.erase(outcome.attempt_id);
  if (observer) observer->OnOutcome(outcome);
}

void attempt_table::OnRevokeAnswer(std::string_view target,
                                   const revoke_answer_message& answer) {
  const auto found = attempts_.find(answer.attempt_id);
  if (found == attempts_.end() || found->second.target != target) return;
  const std::shared_ptr<attempt_observer> observer =
      found->second.observer.lock();
  if (answer.known && !answer.begun) {
    timers_.Cancel(found->second.lost_timer);
    attempts_.erase(found);
  }
  if (observer) observer->OnRevokeAnswer(answer);
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
    common::Log(common::log_channel::kRequest, common::log_level::kError,
                "dropped a foreign result of target " + std::string(target) +
                    " for attempt " + attempt_id);
    return nullptr;
  }
  return &entry;
}

void attempt_table::Lose(const std::string& attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  const std::shared_ptr<attempt_observer> observer =
      found->second.observer.lock();
  timers_.Cancel(found->second.lost_timer);
  attempts_.erase(found);
  if (observer) observer->OnLost(attempt_id);
}

void attempt_table::Resume(const std::string& attempt_id,
                           const attempt& entry) {
  sender_.Send(entry.target,
               resume_message{attempt_id, entry.organisation, entry.received});
}

}  // namespace wisteriadale::core
