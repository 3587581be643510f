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

/// Names a connection of a router to an agent.
using router_connection_id = uint64_t;

/// Sends an agent's messages back to routers.
class router_sender {
 public:
  virtual ~router_sender() = default;
  /// Messages to a link that has closed are dropped.
  virtual void Send(router_connection_id link, const message& message) = 0;
};

/// Told how each operation on a target ended, so that its row learns of it even
/// when the router that dispatched it is gone.
class operation_end_observer {
 public:
  virtual ~operation_end_observer() = default;
  /// @param ran    false: the token never ran and never will
  /// @param result JSON text of the stage, when it ran
  virtual void OnOperationEnded(const execute_message& execute, bool ran,
                                std::string_view result) = 0;
};

/// How an agent admits and keeps attempts.
struct attempt_scheduler_options {
  uint64_t incarnation = 0;
  uint32_t concurrency_limit = 8;
  uint32_t queue_limit = 64;
  common::duration retention = std::chrono::seconds(60);
  common::duration orphan_limit = std::chrono::seconds(5);
  size_t retained_bytes = 8 << 20;  ///< of ended attempts, for resumes
  token_history_options tokens;
};

/// The attempts on one target: admits, deduplicates, resumes and drains. It is
/// the only way to the target.
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

  /// Replaces the policies. What waits moves to the new queue.
  void SetPolicies(std::unique_ptr<concurrency_limit> limit,
                   std::unique_ptr<attempt_queue> queue);

  /// @param observer told of ends from now on; not owned
  void SetOperationObserver(operation_end_observer* observer) {
    operation_observer_ = observer;
  }

  void OnExecute(router_connection_id link, const execute_message& execute);
  void OnCancel(const cancel_message& cancel);
  void OnResume(router_connection_id link, const resume_message& resume);
  void OnRevoke(router_connection_id link, const revoke_message& revoke);
  void OnLinkClosed(router_connection_id link);

  void OnTargetChunk(std::string_view attempt_id,
                     std::string_view data) override;
  void OnTargetResult(std::string_view attempt_id,
                      const target_result& result) override;

  /// Takes no new work from now on.
  /// @param on_drained called once nothing is in flight
  void Drain(std::function<void()> on_drained);

  /// Takes new work again.
  void EndDrain();
  /// An operator lifted the conviction of a digest.
  void LiftQuarantine(const std::string& digest) {
    crashed_alone_.erase(digest);
  }

  load_report Load() const;
  bool draining() const { return draining_; }
  /// @return the window for tokens made now
  uint64_t token_window() const { return tokens_.CurrentWindow(); }
  /// @return bytes kept of ended attempts
  size_t retained_bytes() const { return retained_bytes_; }

 private:
  enum class phase { kQueued, kRunning, kEnded };

  struct attempt {
    execute_message execute;
    router_connection_id link = 0;
    phase state = phase::kQueued;
    common::time_point deadline;
    common::time_point started;
    uint32_t beside = 0;  ///< attempts running when it began, itself included
    std::string stream;   ///< all chunks so far, the prefix included
    outcome_message outcome;
    /// Digests in flight when the target crashed under this attempt.
    std::shared_ptr<const std::vector<std::string>> crash;
    size_t retained = 0;         ///< bytes kept once it has ended
    common::timer_id timer = 0;  ///< forgets or cancels the attempt
  };

  void Refuse(router_connection_id link, const execute_message& execute,
              common::result_code code, std::string_view reason,
              bool begun = false);
  bool Admit(router_connection_id link, const execute_message& execute);
  bool AdmitToTarget(router_connection_id link, const execute_message& execute);
  void NoteCrash(attempt* entry);
  bool AdmitToken(router_connection_id link, const execute_message& execute);
  token_state Revoke(std::string_view token, uint64_t window);
  void ResumeUnknown(router_connection_id link, const resume_message& resume);
  void StartQueued();
  std::optional<queued_attempt> NextQueued();
  /// @return whether the attempt would only waste the target's time
  bool CannotEnd(const attempt& entry) const;
  common::duration NeededTime() const;
  void SweepExpired();
  void Expire(const std::string& attempt_id);
  void Unqueue(const std::string& attempt_id);
  static queued_attempt Queued(const attempt& entry);
  queue_load QueueLoad() const;
  size_t Waiting() const;
  void Begin(attempt* entry);
  void End(attempt* entry, const target_result& result);
  void SendFrom(const attempt& entry, uint64_t offset);
  static std::string OperationResult(const attempt& entry);
  void TellOperationEnd(const attempt& entry);
  void EndRevoked(const std::string& token);
  void Retain(attempt* entry);
  void Forget(const std::string& attempt_id);
  void CheckDrained();

  attempt_scheduler_options options_;
  target_client& target_;
  router_sender& routers_;
  common::clock& clock_;
  common::timer_service& timers_;
  std::unordered_map<std::string, attempt> attempts_;
  token_history tokens_;  ///< and ids of attempts that were given up early
  std::deque<std::string> ended_;  ///< ids, the one that ended first in front
  size_t retained_bytes_ = 0;
  operation_end_observer* operation_observer_ = nullptr;
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<attempt_queue> queue_;
  std::optional<queued_attempt> alone_next_;  ///< waits for an idle target
  bool alone_running_ = false;
  bool starting_ = false;  ///< guards StartQueued against re-entry
  uint32_t running_ = 0;
  double latency_us_ = 0;
  bool draining_ = false;
  std::function<void()> on_drained_;
  bool target_up_ = true;
  /// Digests that crashed the target while nothing ran beside them.
  std::set<std::string> crashed_alone_;
};

}  // namespace wisteriadale::core
