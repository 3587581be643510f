#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

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
  /// The agent answered a revoke.
  virtual void OnRevokeAnswer(const revoke_answer_message& answer) = 0;
};

/// Sends messages to the agents of targets.
class agent_sender {
 public:
  virtual ~agent_sender() = default;
  /// @return false when there is no open connection
  virtual bool Send(std::string_view target, const message& message) = 0;
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
  /// Asks that a non-idempotent attempt never begins.
  bool Revoke(std::string_view attempt_id, std::string_view token);

  /// A channel to the target's agent opened.
  void OnConnected(std::string_view target, uint64_t incarnation);
  void OnDisconnected(std::string_view target);
  void OnChunk(std::string_view target, const chunk_message& chunk);
  void OnOutcome(std::string_view target, const outcome_message& outcome);
  void OnRevokeAnswer(std::string_view target,
                      const revoke_answer_message& answer);

  size_t size() const { return attempts_.size(); }

 private:
  struct attempt {
    std::string target;
    std::string organisation;
    uint64_t incarnation = 0;
    uint64_t received = 0;  ///< bytes of the stream
    common::timer_id lost_timer = 0;
    std::weak_ptr<attempt_observer> observer;
  };

  attempt* Match(std::string_view target, const std::string& attempt_id,
                 std::string_view organisation);
  void Lose(const std::string& attempt_id);
  void Resume(const std::string& attempt_id, const attempt& entry);

  agent_sender& sender_;
  common::timer_service& timers_;
  common::duration reconnect_limit_;
  std::unordered_map<std::string, attempt> attempts_;
};

}  // namespace wisteriadale::core
