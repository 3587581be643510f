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

/// Follows one attempt. Exactly one of OnOutcome and OnLost ends it.
class attempt_observer {
 public:
  virtual ~attempt_observer() = default;
  /// The next part of the stream; parts are in order and never repeat.
  virtual void OnChunk(std::string_view attempt_id, std::string_view data) = 0;
  /// The attempt ended and its stream, if any, arrived whole.
  virtual void OnOutcome(const outcome_message& outcome) = 0;
  /// The agent cannot tell any more what became of the attempt.
  virtual void OnLost(std::string_view attempt_id) = 0;
};

/// Sends messages to the agents of targets.
class agent_sender {
 public:
  virtual ~agent_sender() = default;
  /// @return false when there is no open connection
  virtual bool Send(std::string_view target, const message& message) = 0;
};

/// What an agent says of an operation token.
enum class token_status {
  kNeverRuns,  ///< not begun, and it never will be
  kBegun,
  kUnknown,  ///< no answer, or the agent cannot tell
};

/// The attempts that a router has in progress. It matches what agents send to
/// attempts, drops what does not belong to one, puts streams in order and
/// resumes attempts after a connection was dialled anew.
class attempt_table {
 public:
  /// @param reconnect_limit how long an attempt waits for a new connection
  attempt_table(agent_sender& sender, common::timer_service& timers,
                common::duration reconnect_limit)
      : sender_(sender), timers_(timers), reconnect_limit_(reconnect_limit) {}

  /// Sends an execute and follows it.
  /// @return false when it could not be sent; nothing was started
  bool Start(std::string_view target, uint64_t incarnation,
             const execute_message& execute,
             std::weak_ptr<attempt_observer> observer);
  /// Stops following an idempotent attempt and tells the agent.
  void Cancel(std::string_view attempt_id);
  /// Asks that an operation token never runs, whichever router dispatched it.
  /// @param handler called once, not inside this call
  void Revoke(std::string_view target, std::string_view token, uint64_t window,
              std::function<void(token_status)> handler);

  /// A channel to the target's agent opened.
  void OnConnected(std::string_view target, uint64_t incarnation);
  void OnDisconnected(std::string_view target);
  void OnChunk(std::string_view target, const chunk_message& chunk);
  void OnOutcome(std::string_view target, const outcome_message& outcome);
  void OnRevokeAnswer(std::string_view target,
                      const revoke_answer_message& answer);

  size_t size() const { return attempts_.size(); }
  /// @return attempts in progress on a target
  size_t CountOnTarget(std::string_view target) const;

 private:
  struct attempt {
    std::string target;
    std::string organisation;
    std::string operation_token;
    uint64_t token_window = 0;
    uint64_t incarnation = 0;
    uint64_t received = 0;        ///< bytes of the stream
    uint32_t idle_resumes = 0;    ///< since a byte was received
    bool resume_pending = false;  ///< asked, and nothing new came yet
    common::timer_id lost_timer = 0;
    std::weak_ptr<attempt_observer> observer;
  };

  struct pending_revoke {
    std::vector<std::function<void(token_status)>> handlers;
    common::timer_id timer = 0;
  };

  attempt* Match(std::string_view target, const std::string& attempt_id,
                 std::string_view organisation);
  void Lose(const std::string& attempt_id);
  void Resume(const std::string& attempt_id, attempt* entry);
  void ResumeOrCut(const std::string& attempt_id, attempt* entry);
  void Cut(const std::string& attempt_id);
  std::vector<std::string> AttemptsAt(std::string_view target) const;
  void Erase(const std::string& attempt_id);
  void EndRevoke(const std::string& token, token_status fate);

  agent_sender& sender_;
  common::timer_service& timers_;
  common::duration reconnect_limit_;
  std::unordered_map<std::string, attempt> attempts_;
  std::map<std::string, std::set<std::string>, std::less<>> by_target_;
  std::unordered_map<std::string, pending_revoke> revokes_;  ///< by token
};

}  // namespace wisteriadale::core
