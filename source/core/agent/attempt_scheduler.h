#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/clock.h"
#include "core/admission/attempt_queue.h"
#include "core/admission/concurrency_limit.h"
#include "core/agent/target_client.h"
#include "core/agent/token_history.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// Identifies a connection of a router to an agent.
using router_connection_id = uint64_t;

/// Sends an agent's messages back to routers.
class router_sender {
 public:
  virtual ~router_sender() = default;
  /// Sends a message; it is dropped if the connection has closed.
  virtual void Send(router_connection_id link, const message& message) = 0;
};

/// Receives the end of each operation on a target, so that its row is updated
/// even when the router that dispatched it is gone.
class operation_end_observer {
 public:
  virtual ~operation_end_observer() = default;
  /// @param ran    false: the token never ran and never will
  /// @param result JSON text of the stage, when it ran
  virtual void OnOperationEnded(const execute_message& execute, bool ran,
                                std::string_view result) = 0;
};

/// Limits for admitting and retaining attempts.
struct attempt_scheduler_options {
  uint64_t incarnation = 0;
  uint32_t concurrency_limit = 8;
  uint32_t queue_limit = 64;
  /// How long an ended attempt can be resumed.
  common::duration retention = std::chrono::seconds(60);
  /// How long an idempotent attempt outlives the connection of its router.
  common::duration orphan_limit = std::chrono::seconds(5);
  size_t retained_bytes = 8 << 20;  ///< of ended attempts, for resumes
  token_history_options tokens;
};

/// Schedules the attempts on one target: admits, deduplicates, queues, runs,
/// resumes and drains them. All work reaches the target through it.
class attempt_scheduler final : public target_observer {
 public:
  attempt_scheduler(const attempt_scheduler_options& options,
                    target_client& target, router_sender& routers,
                    common::clock& clock, common::timer_service& timers)
      : options_(options),
        target_(target),
        routers_(routers),
        clock_(clock),
        timers_(timers),
        tokens_(options.tokens, options.incarnation, clock),
        limit_(std::make_unique<fixed_limit>(options.concurrency_limit)),
        queue_(std::make_unique<fifo_queue>(options.queue_limit)) {}

  /// Replaces the policies. Queued attempts move to the new queue.
  void SetPolicies(std::unique_ptr<concurrency_limit> limit,
                   std::unique_ptr<attempt_queue> queue);

  /// @param observer receives the ends from now on; not owned
  void SetOperationObserver(operation_end_observer* observer) {
    operation_observer_ = observer;
  }

  /// Admits an attempt, or resumes it if it is known.
  void OnExecute(router_connection_id link, const execute_message& execute);
  /// Cancels an idempotent attempt; one that has not arrived yet never runs.
  void OnCancel(const cancel_message& cancel);
  /// Sends the rest of an attempt's stream and its outcome on this connection.
  void OnResume(router_connection_id link, const resume_message& resume);
  /// Revokes an operation token, unless its work may have begun.
  void OnRevoke(router_connection_id link, const revoke_message& revoke);
  /// A connection closed: its idempotent attempts are cancelled unless they are
  /// resumed in time.
  void OnLinkClosed(router_connection_id link);

  void OnTargetChunk(std::string_view attempt_id,
                     std::string_view data) override;
  void OnTargetResult(std::string_view attempt_id,
                      const target_result& result) override;

  /// Refuses new work from now on.
  /// @param on_drained called once nothing is queued or running
  void Drain(std::function<void()> on_drained);

  /// Accepts new work again.
  void EndDrain();
  /// An operator lifted the quarantine of a digest.
  void LiftQuarantine(const std::string& digest) { quarantined_.erase(digest); }

  load_report Load() const;
  bool draining() const { return draining_; }
  /// @return the number of the window for tokens made now
  uint64_t token_window() const { return tokens_.CurrentWindow(); }
  /// @return bytes retained of ended attempts
  size_t retained_bytes() const { return retained_bytes_; }

 private:
  enum class phase { kQueued, kRunning, kEnded };

  struct attempt {
    execute_message execute;
    router_connection_id link = 0;
    phase state = phase::kQueued;
    common::time_point deadline;
    common::time_point started;
    uint32_t concurrency = 0;  ///< running attempts at its start, with itself
    std::string stream;        ///< all chunks so far, the prefix included
    outcome_message outcome;
    /// Digests in flight when the target crashed under this attempt.
    std::shared_ptr<const std::vector<std::string>> crash_digests;
    size_t retained = 0;         ///< bytes retained once it has ended
    common::timer_id timer = 0;  ///< evicts or cancels the attempt
  };

  void Refuse(router_connection_id link, const execute_message& execute,
              common::result_code code, std::string_view reason,
              bool begun = false);
  bool Admit(router_connection_id link, const execute_message& execute);
  bool AdmitToTarget(router_connection_id link, const execute_message& execute);
  void RecordCrash(attempt* entry);
  bool AdmitToken(router_connection_id link, const execute_message& execute);
  token_state Revoke(std::string_view token, uint64_t window);
  void ResumeUnknown(router_connection_id link, const resume_message& resume);
  void StartQueued();
  std::optional<queued_attempt> PopQueued();
  /// @return whether the attempt cannot end before its deadline, so that it
  ///         would waste the target's time
  bool WouldMissDeadline(const attempt& entry) const;
  common::duration RequiredTime() const;
  void ExpireOverdue();
  void Expire(const std::string& attempt_id);
  void RemoveQueued(const std::string& attempt_id);
  static queued_attempt QueueEntry(const attempt& entry);
  queue_load QueueLoad() const;
  size_t QueuedCount() const;
  void Begin(attempt* entry);
  void End(attempt* entry, const target_result& result);
  void SendFrom(const attempt& entry, uint64_t offset);
  static std::string OperationResult(const attempt& entry);
  void ReportOperationEnd(const attempt& entry);
  void EndRevoked(const std::string& token);
  void Retain(attempt* entry);
  void Evict(const std::string& attempt_id);
  void CheckDrained();

  attempt_scheduler_options options_;
  target_client& target_;
  router_sender& routers_;
  common::clock& clock_;
  common::timer_service& timers_;
  std::unordered_map<std::string, attempt> attempts_;
  token_history tokens_;  ///< and ids of attempts given up before arrival
  std::deque<std::string> ended_;  ///< ids, in the order in which they ended
  size_t retained_bytes_ = 0;
  operation_end_observer* operation_observer_ = nullptr;
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<attempt_queue> queue_;
  /// The next exclusive attempt, which waits for the target to be idle.
  std::optional<queued_attempt> exclusive_;
  bool exclusive_running_ = false;
  bool starting_ = false;  ///< guards StartQueued against re-entry
  uint32_t running_ = 0;
  double latency_us_ = 0;
  bool draining_ = false;
  std::function<void()> on_drained_;
  bool target_up_ = true;
  /// Digests that crashed the target in an exclusive run.
  std::set<std::string> quarantined_;
};

}  // namespace wisteriadale::core
