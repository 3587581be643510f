#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/result_code.h"
#include "common/trace.h"

/// Decision logic, free of I/O.
namespace wisteriadale::core {

/// Load of a target, which its agent sends with every response.
struct load_report {
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;          ///< current concurrency limit
  uint32_t latency_us = 0;     ///< smoothed service time
  uint32_t queue_wait_us = 0;  ///< expected queueing delay of a new attempt
  bool accepting = true;       ///< false while draining
  uint64_t configuration_version = 0;
  uint64_t token_window = 0;  ///< agent's current window for operation tokens

  bool operator==(const load_report&) const = default;
};

/// Handshake: the first message on a channel, in both directions.
struct hello_message {
  std::string name;          ///< router name or target id
  uint64_t incarnation = 0;  ///< differs for each start of the process
  std::string data_centre;
  bool is_router = false;  ///< false for an agent
  uint64_t configuration_version = 0;
  std::string pool;     ///< pool of an agent's target
  std::string address;  ///< listen address of the sender; may be empty
  uint16_t port = 0;
  uint64_t token_window = 0;  ///< an agent's current token window
};

/// Asks an agent to execute one stage.
struct execute_message {
  std::string attempt_id;
  std::string request_id;
  std::string organisation;
  std::string pipeline;
  std::string stage;
  std::string input;                  ///< JSON text
  std::string digest;                 ///< digest of the caller's request
  std::string operation_token;        ///< empty for idempotent stages
  uint64_t expected_incarnation = 0;  ///< checked if there is a token
  uint64_t token_window = 0;          ///< in which the token was issued
  common::milliseconds remaining{0};  ///< time until the deadline
  bool deferrable = false;
  /// Suspected of crashing targets: nothing else may run at the same time.
  bool exclusive = false;
  uint32_t organisation_weight = 1;
  std::string prefix_key;     ///< for the prompt prefix cache
  std::string operation_key;  ///< table key of the operation's row
  std::string stream_prefix;  ///< output so far, which the engine continues
  uint64_t configuration_version = 0;
  common::trace_context trace;
};

/// Part of a streamed result.
struct chunk_message {
  std::string attempt_id;
  std::string organisation;
  uint64_t offset = 0;  ///< of the part in the stream, in bytes
  std::string data;
};

/// End of an attempt. The result is complete only with kOk.
struct outcome_message {
  std::string attempt_id;
  std::string organisation;
  common::result_code code = common::result_code::kOk;
  std::string reason;
  std::string result;         ///< JSON text of a stage that is not streamed
  uint64_t stream_bytes = 0;  ///< total size of all chunks
  bool begun = false;         ///< whether the target may have started the work
  uint64_t target_us = 0;     ///< execution time on the target
  /// Digests of the requests that were in flight when the target crashed.
  std::vector<std::string> suspect_digests;
  load_report load;
};

/// Cancels an idempotent attempt.
struct cancel_message {
  std::string attempt_id;
};

/// Resumes an attempt after a reconnect.
struct resume_message {
  std::string attempt_id;
  std::string organisation;
  uint64_t offset = 0;          ///< stream bytes that were received
  std::string operation_token;  ///< of a non-idempotent attempt
  uint64_t token_window = 0;
};

/// Revokes an operation token: if its operation has not started, it never will.
struct revoke_message {
  std::string attempt_id;  ///< empty if another router asks
  std::string operation_token;
  uint64_t token_window = 0;
};

/// Response to a revoke_message.
struct revoke_answer_message {
  std::string attempt_id;
  std::string operation_token;
  bool begun = false;  ///< the operation has started, so it was not revoked
  bool known = true;   ///< false: this incarnation cannot tell
};

/// Heartbeat; the receiver responds with the same message and `answer` set.
struct ping_message {
  uint64_t sequence = 0;
  bool answer = false;
  load_report load;
  uint64_t configuration_version = 0;
  uint64_t quarantine_hash = 0;  ///< of the sender's quarantined digests
};

/// An accepted configuration, on its way to routers and agents.
struct configuration_message {
  uint64_t version = 0;
  std::string digest;
  std::string document;  ///< JSON text; empty requests it from the peer
  uint32_t hops = 0;
};

/// A controller's order to a target.
struct order_message {
  std::string order_id;
  uint64_t fencing_number = 0;
  std::string kind;  ///< load_model, unload_model, set_role, drain, ...
  std::string argument;
  std::string target;     ///< target that the order is for
  std::string authority;  ///< issuer: a lease holder or an operator
};

/// Result of an order.
struct order_answer_message {
  std::string order_id;
  common::result_code code = common::result_code::kOk;
  std::string reason;
  uint64_t fencing_number = 0;  ///< highest number that the agent has seen
};

/// Change of the quarantine status of a request digest.
struct quarantine_message {
  std::string digest;
  int64_t expires_wall_us = 0;
  bool lifted = false;
  /// Suspected of crashing targets but not quarantined: runs exclusively until
  /// it is known whether it does.
  bool suspect = false;
};

/// Every message between the processes of the system.
using message =
    std::variant<hello_message, execute_message, chunk_message, outcome_message,
                 cancel_message, resume_message, revoke_message,
                 revoke_answer_message, ping_message, configuration_message,
                 order_message, order_answer_message, quarantine_message>;

}  // namespace wisteriadale::core
