#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "core/messages.h"

namespace wisteriadale::core {

/// Receives the events of one attempt. Exactly one of OnOutcome and OnLost is
/// called, as the last of them.
class attempt_observer {
 public:
  virtual ~attempt_observer() = default;
  /// The next bytes of the stream, in order and without repetition.
  virtual void OnChunk(std::string_view attempt_id, std::string_view data) = 0;
  /// The attempt ended. With code kOk its stream, if any, was received in full.
  virtual void OnOutcome(const outcome_message& outcome) = 0;
  /// The outcome is unknown: the agent restarted, or could not be reached again
  /// in time.
  virtual void OnLost(std::string_view attempt_id) = 0;
};

/// Sends messages to the agents of targets.
class agent_sender {
 public:
  virtual ~agent_sender() = default;
  /// @return false when there is no open connection
  virtual bool Send(std::string_view target, const message& message) = 0;
};

/// Status of an operation token, as its agent reports it.
enum class token_status {
  kNeverRuns,  ///< not begun, and never will be
  kBegun,      ///< the target may have started the work
  kUnknown,    ///< no answer, or the agent cannot tell
};

/// Tracks the attempts that a router has in progress. It matches agents'
/// messages to attempts, drops those that match none, delivers streams in order
/// and resumes attempts after a reconnect.
class attempt_table {
 public:
  /// @param reconnect_limit how long an attempt outlives its connection
  attempt_table(agent_sender& sender, common::timer_service& timers,
                common::duration reconnect_limit)
      : sender_(sender), timers_(timers), reconnect_limit_(reconnect_limit) {}

  /// Sends an execute message and tracks its attempt.
  /// @return false when it could not be sent; nothing was started
  bool Start(std::string_view target, uint64_t incarnation,
             const execute_message& execute,
             std::weak_ptr<attempt_observer> observer);
  /// Stops tracking an idempotent attempt and cancels it at the agent.
  void Cancel(std::string_view attempt_id);
  /// Asks the agent to revoke an operation token, whichever router dispatched
  /// it, so that it never runs.
  /// @param handler called once, never from within this call
  void Revoke(std::string_view target, std::string_view token, uint64_t window,
              std::function<void(token_status)> handler);

  /// The channel to the target's agent was opened: resumes its attempts, or
  /// reports them lost if the agent has restarted.
  void OnConnected(std::string_view target, uint64_t incarnation);
  /// The channel closed: the target's attempts are lost unless it opens again
  /// in time.
  void OnDisconnected(std::string_view target);
  void OnChunk(std::string_view target, const chunk_message& chunk);
  void OnOutcome(std::string_view target, const outcome_message& outcome);
  void OnRevokeAnswer(std::string_view target,
                      const revoke_answer_message& answer);

  size_t size() const { return attempts_.size(); }
  /// @return the number of attempts in progress on a target
  size_t CountOnTarget(std::string_view target) const;

 private:
  struct attempt {
    std::string target;
    std::string organisation;
    std::string operation_token;
    uint64_t token_window = 0;
    uint64_t incarnation = 0;
    uint64_t received = 0;                  ///< bytes of the stream so far
    uint32_t resumes_without_progress = 0;  ///< since the last new byte
    bool resume_pending = false;  ///< sent, and no new byte has come since
    common::timer_id lost_timer = 0;
    std::weak_ptr<attempt_observer> observer;
  };

  struct pending_revoke {
    std::vector<std::function<void(token_status)>> handlers;
    common::timer_id timer = 0;
  };

  attempt* Match(std::string_view target, const std::string& attempt_id,
                 std::string_view organisation);
  void ReportLost(const std::string& attempt_id);
  void SendResume(const std::string& attempt_id, attempt* entry);
  void ResumeOrTruncate(const std::string& attempt_id, attempt* entry);
  void EndTruncated(const std::string& attempt_id);
  std::vector<std::string> AttemptIdsOn(std::string_view target) const;
  void Erase(const std::string& attempt_id);
  void CompleteRevoke(const std::string& token, token_status status);

  agent_sender& sender_;
  common::timer_service& timers_;
  common::duration reconnect_limit_;
  std::unordered_map<std::string, attempt> attempts_;
  std::map<std::string, std::set<std::string>, std::less<>> by_target_;
  std::unordered_map<std::string, pending_revoke> revokes_;  ///< by token
};

}  // namespace wisteriadale::core
