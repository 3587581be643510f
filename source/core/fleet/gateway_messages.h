#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "core/quarantine/crash_suspects.h"
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

/// First message of a link between gateways, in both directions.
struct gateway_hello {
  std::string name;
  uint64_t incarnation = 0;  ///< changes at each start of the process
  std::string address;       ///< "ip:port" that the sender's links listen on
  std::vector<std::string> known_addresses;  ///< of other gateways
  double capacity = 0;  ///< of its VM, compared with those of others
};

/// The sender turned slow, or is not any more.
struct gateway_slow_state {
  bool slow = false;
};

/// Keeps a link known to be alive; answered by an equal message.
struct gateway_ping {
  uint64_t sequence = 0;
  bool answer = false;
};

/// The sender stops soon and owns no queue from now on; what it was asked for
/// it still ends.
struct gateway_shutdown_notice {};

/// Asks the owner of a service's queue for the pieces of a stage.
struct stage_job_message {
  std::string request_id;
  std::string service;
  std::string organisation;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  std::string key;
  std::vector<std::string> inputs;
  uint64_t result_bytes = 0;
  uint32_t priority = 0;
  bool late = false;  ///< its request cannot meet its objective
  common::milliseconds to_objective{0};
  common::milliseconds to_deadline{0};
  std::string data_centre;          ///< where it is best made
  uint64_t remote_input_bytes = 0;  ///< that are moved if it is made elsewhere
};

/// How a stage ended.
struct stage_outcome_message {
  std::string request_id;
  uint32_t stage = 0;
  bool made = false;
  bool late = false;  ///< not made: its time had run out
  std::vector<std::string> handles;
};

/// Tells the owner of a queue of an order that will come.
struct upcoming_stage_message {
  std::string request_id;
  std::string service;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  uint32_t priority = 0;
  common::milliseconds to_expiry{0};
};

/// Load of a queue that the sender owns.
struct service_load_message {
  std::string service;
  service_load load;
};

/// The request needs its stages no more.
struct stage_cancellation_message {
  std::string request_id;
};

/// Results of a service that are not needed any more.
struct stage_release_message {
  std::string service;
  std::vector<std::string> handles;
};

/// The routes in force at the sender, as the store holds them.
struct routes_message {
  uint64_t version = 0;
  std::string document;
};

/// What the sender read in the store of targets that leave.
struct leaving_targets_message {
  std::vector<std::string> draining;  ///< ids
  std::vector<std::string> gone;      ///< ids whose entries are gone
};

using gateway_message =
    std::variant<gateway_hello, gateway_ping, stage_job_message,
                 stage_outcome_message, stage_cancellation_message,
                 stage_release_message, routes_message, leaving_targets_message,
                 upcoming_stage_message, service_load_message,
                 gateway_shutdown_notice, crash_report, gateway_slow_state>;

}  // namespace wisteriadale::core
