#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/result_code.h"
#include "common/trace.h"

/// Decisions, without I/O.
namespace wisteriadale::core {

/// What an agent tells about its target with every answer.
struct load_report {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;          ///< current concurrency limit
  uint32_t latency_us = 0;     ///< smoothed service time
  uint32_t queue_wait_us = 0;  ///< wait that a new attempt is likely to have
  bool accepting = true;       ///< false once draining
  uint64_t configuration_version = 0;
  uint64_t token_window = 0;  ///< the agent's, for new operation tokens

  bool operator==(const load_report&) const = default;
};

/// First message on a channel, in both directions.
struct hello_message {
  std::string name;          ///< router name or target id
  uint64_t incarnation = 0;  ///< changes at each start of the process
  std::string data_centre;
  bool is_router = false;
  uint64_t configuration_version = 0;
  std::string pool;     ///< of an agent's target
  std::string address;  ///< where the sender listens, if it says
  uint16_t port = 0;
  uint64_t token_window = 0;  ///< an agent's current token window
};

/// Asks an agent to run one stage.
struct execute_message {
  std::string attempt_id;
  std::string request_id;
  std::string organisation;
  std::string pipeline;
  std::string stage;
  std::string input;                  ///< JSON text
  std::string digest;                 ///< of the caller's request
  std::string operation_token;        ///< empty for idempotent stages
  uint64_t expected_incarnation = 0;  ///< checked when a token is present
  uint64_t token_window = 0;          ///< in which the token was made
  common::milliseconds remaining{0};
  bool deferrable = false;
  bool exclusive = false;  ///< suspect: nothing may run beside it
  uint32_t organisation_weight = 1;
  std::string prefix_key;     ///< for the prompt prefix cache
  std::string operation_key;  ///< table key of the operation's row
  std::string stream_prefix;  ///< already generated; the engine goes on
  uint64_t configuration_version = 0;
  common::trace_context trace;
};

/// Part of a streamed result.
struct chunk_message {
  std::string attempt_id;
  std::string organisation;
  uint64_t offset = 0;  ///< bytes before this part
  std::string data;
};

/// The end of an attempt. A result is whole only with kOk.
struct outcome_message {
  std::string attempt_id;
  std::string organisation;
  common::result_code code = common::result_code::kOk;
  std::string reason;
  std::string result;         ///< JSON text of a stage without a stream
  uint64_t stream_bytes = 0;  ///< bytes of all chunks together
  bool begun = false;         ///< whether the target may have started the work
  uint64_t target_us = 0;     ///< time on the target
  std::vector<std::string> suspect_digests;  ///< in flight when it crashed
  load_report load;
};

/// Gives up an idempotent attempt.
struct cancel_message {
  std::string attempt_id;
};

/// Continues an attempt after a new connection was dialled.
struct resume_message {
  std::string attempt_id;
  std::string organisation;
  uint64_t offset = 0;
  std::string operation_token;  ///< of a non-idempotent attempt
  uint64_t token_window = 0;
};

/// Asks that an operation token never runs, if it has not begun.
struct revoke_message {
  std::string attempt_id;  ///< empty when another router asks
  std::string operation_token;
  uint64_t token_window = 0;
};

/// Answer to a revoke_message.
struct revoke_answer_message {
  std::string attempt_id;
  std::string operation_token;
  bool begun = false;
  bool known = true;  ///< false: this incarnation cannot tell
};

/// Keeps a connection known to be alive; answered by an equal message.
struct ping_message {
  uint64_t sequence = 0;
  bool answer = false;
  load_report load;
  uint64_t configuration_version = 0;
  uint64_t quarantine_hash = 0;  ///< of the sender's convictions
};

/// An accepted configuration, passed on to peers and agents.
struct configuration_message {
  uint64_t version = 0;
  std::string digest;
  std::string document;  ///< JSON text; empty asks the peer for it
  uint32_t hops = 0;
};

/// What a controller orders a target to do.
struct order_message {
  std::string order_id;
  uint64_t fencing_number = 0;
  std::string kind;  ///< load_model, unload_model, set_role, drain, ...
  std::string argument;
  std::string target;     ///< target that the order is for
  std::string authority;  ///< who gives it: a lease holder, or an operator
};

/// How an order ended.
struct order_answer_message {
  std::string order_id;
  common::result_code code = common::result_code::kOk;
  std::string reason;
  uint64_t fencing_number = 0;  ///< highest number the agent has seen
};

/// A digest suspected or convicted of crashing targets.
struct quarantine_message {
  std::string digest;
  int64_t expires_wall_us = 0;
  bool lifted = false;
  bool suspect = false;  ///< not convicted: runs alone until that is known
};

/// Every message between the system's own processes.
using message =
    std::variant<hello_message, execute_message, chunk_message, outcome_message,
                 cancel_message, resume_message, revoke_message,
                 revoke_answer_message, ping_message, configuration_message,
                 order_message, order_answer_message, quarantine_message>;

}  // namespace wisteriadale::core
