#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "core/agent/attempt_scheduler.h"
#include "core/operations/operation_store.h"

namespace wisteriadale::core {

/// Delays and bounds of the recorder.
struct operation_recorder_options {
  /// Time that a router has to record the end itself.
  common::duration router_grace_period = std::chrono::seconds(3);
  /// Time after which recording is given up.
  common::duration record_timeout = std::chrono::minutes(10);
  size_t max_pending = 4096;  ///< operations; further ends are not recorded
};

/// Records the end of each operation that its router did not record in time, so
/// that no result is lost when a router fails. Runs in the agent.
class operation_recorder final : public operation_end_observer {
 public:
  operation_recorder(const operation_recorder_options& options,
                     operation_store& operations, common::clock& clock,
                     common::timer_service& timers)
      : options_(options),
        operations_(operations),
        clock_(clock),
        timers_(timers) {}

  void OnOperationEnded(const execute_message& execute, bool ran,
                        std::string_view result) override;

  /// Records what is pending without waiting for routers, before the agent
  /// leaves.
  /// @param limit   time for it
  /// @param on_done called once, when all is recorded or the time is up
  void Flush(common::duration limit, std::function<void()> on_done);

  size_t pending() const { return pending_.size(); }

 private:
  struct ended_operation {
    std::string row_key;
    std::string result;
    bool ran = false;
    common::time_point deadline;
    common::timer_id timer = 0;
    bool in_flight = false;  ///< its row is being read or written
  };

  void CheckRow(const std::string& token);
  void OnRow(const std::string& token,
             const std::optional<operation_record>& record);
  void ScheduleCheck(const std::string& token, common::duration delay);
  void Remove(const std::string& token);

  operation_recorder_options options_;
  operation_store& operations_;
  common::clock& clock_;
  common::timer_service& timers_;
  std::unordered_map<std::string, ended_operation> pending_;  ///< by token
  std::function<void()> on_flushed_;
  common::timer_id flush_timer_ = 0;
};

}  // namespace wisteriadale::core
