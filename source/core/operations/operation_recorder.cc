#include "core/operations/operation_recorder.h"

#include <vector>

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

constexpr common::duration kRetryDelay = std::chrono::seconds(1);

}  // namespace

void operation_recorder::OnOperationEnded(const execute_message& execute,
                                          bool ran, std::string_view result) {
  if (pending_.size() >= options_.max_pending) {
    common::Metrics().Count("wisteria_recorder_overflow_total");
    return;
  }
  ended_operation& ended = pending_[execute.operation_token];
  ended.row_key = execute.operation_key;
  ended.result = result;
  ended.ran = ran;
  ended.deadline = clock_.Now() + options_.record_timeout;
  const bool flushing = on_flushed_ != nullptr;
  ScheduleCheck(execute.operation_token,
                flushing ? common::duration(0) : options_.router_grace_period);
}

void operation_recorder::ScheduleCheck(const std::string& token,
                                       common::duration delay) {
  ended_operation& ended = pending_.at(token);
  timers_.Cancel(ended.timer);
  ended.timer = timers_.Schedule(delay, [this, token] { CheckRow(token); });
}

void operation_recorder::CheckRow(const std::string& token) {
  ended_operation& ended = pending_.at(token);
  ended.timer = 0;
  if (clock_.Now() >= ended.deadline) {
    common::Metrics().Count("wisteria_recorder_gave_up_total");
    Remove(token);
    return;
  }
  ended.in_flight = true;
  operations_.ReadRow(
      ended.row_key, [this, token](const std::optional<operation_record>& row) {
        OnRow(token, row);
      });
}

void operation_recorder::OnRow(const std::string& token,
                               const std::optional<operation_record>& record) {
  const auto found = pending_.find(token);
  if (found == pending_.end()) return;
  ended_operation& ended = found->second;
  if (!record) {
    ended.in_flight = false;
    ScheduleCheck(token, kRetryDelay);
    return;
  }
  if (record->token != token || record->state != operation_state::kReserved) {
    Remove(token);
    return;
  }
  operation_record settled = *record;
  settled.state = ended.ran ? operation_state::kDone : operation_state::kNotRun;
  settled.result = ended.result;
  common::Metrics().Count("wisteria_operations_recorded_by_agent_total");
  operations_.Settle(ended.row_key, settled, ended.deadline,
                     [this, token](const settle_result&) { Remove(token); });
}

void operation_recorder::Remove(const std::string& token) {
  pending_.erase(token);
  if (!pending_.empty() || !on_flushed_) return;
  timers_.Cancel(flush_timer_);
  const std::function<void()> action = std::move(on_flushed_);
  on_flushed_ = nullptr;
  action();
}

void operation_recorder::Flush(common::duration limit,
                               std::function<void()> on_done) {
  if (pending_.empty()) {
    on_done();
    return;
  }
  on_flushed_ = std::move(on_done);
  flush_timer_ = timers_.Schedule(limit, [this] {
    const std::function<void()> action = std::move(on_flushed_);
    on_flushed_ = nullptr;
    if (action) action();
  });
  std::vector<std::string> waiting;
  for (const auto& [token, ended] : pending_) {
    if (!ended.in_flight) waiting.push_back(token);
  }
  for (const std::string& token : waiting) {
    ScheduleCheck(token, common::duration(0));
  }
}

}  // namespace wisteriadale::core
