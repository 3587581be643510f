#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "core/fleet/evacuations.h"
#include "core/fleet/store_read.h"
#include "core/fleet/target_directory.h"
#include "core/limits/limit_messages.h"
#include "core/quarantine/crash_suspects.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"

namespace wisteriadale::core {

/// Handshake: first message of a link between gateways, in both directions.
struct gateway_hello {
  std::string name;
  uint64_t incarnation = 0;  ///< differs for each start of the process
  std::string address;       ///< "ip:port" where the sender accepts links
  std::vector<std::string> known_addresses;  ///< of other gateways
  double capacity = 0;      ///< of its VM, in the same unit for all
  std::string data_centre;  ///< empty: not known
};

/// Tells whether the sender is slow; sent on each change and on new links.
struct gateway_slow_state {
  bool slow = false;
};

/// The gateways among which the sender chooses owners; sent on each change and
/// on new links.
struct gateway_view {
  uint64_t digest = 0;  ///< see ViewDigest
};

/// Heartbeat of a link. The receiver returns it with `answer` set.
struct gateway_ping {
  uint64_t sequence = 0;
  bool answer = false;
};

/// The sender is about to stop. It owns no queue from now on, but completes the
/// jobs it already has.
struct gateway_shutdown_notice {};

/// Submits a stage to the owner of its service's queue.
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
  std::string data_centre;  ///< preferred data centre; empty: any
  /// Input bytes to transfer if it runs in another data centre.
  uint64_t remote_input_bytes = 0;
  std::string digest;  ///< of the request; empty: not known
};

/// Outcome of a stage.
struct stage_outcome_message {
  std::string request_id;
  uint32_t stage = 0;
  bool completed = false;
  bool late = false;  ///< failed because its time had run out
  std::vector<std::string> handles;
};

/// Announces a stage to the owner of its queue before it is submitted.
struct upcoming_stage_message {
  std::string request_id;
  std::string service;
  uint32_t stage = 0;
  uint32_t pieces = 0;
  uint32_t priority = 0;
  common::milliseconds to_expiry{0};
};

/// Load report of a queue that the sender owns.
struct service_load_message {
  std::string service;
  service_load load;
};

/// Cancels all stages of a request.
struct stage_cancellation_message {
  std::string request_id;
};

/// Releases results of a service that are no longer needed.
struct stage_release_message {
  std::string service;
  std::vector<std::string> handles;
};

/// The routes in force at the sender. Announced without the document, which is
/// sent to those that request it.
struct routes_message {
  routes_edition edition;
  std::string document;  ///< as stored; empty in an announcement
};

/// Requests the routes of the receiver.
struct routes_request {
  routes_edition edition;  ///< as announced; older routes are not sent
};

/// Leaving targets, as read from the store by the sender.
struct leaving_targets_message {
  std::vector<target_start> draining;
  std::vector<target_start> gone;  ///< without an entry
};

/// A read of the store, for the other gateways of the sender's data centre.
struct store_read_message {
  store_read read;
  /// When the read began, by the sender's clock, since the start of its VM.
  common::duration read_at{0};
};

/// What the sender knows of evacuated data centres; sent on each change that it
/// reads from the store, and on new links.
struct evacuations_message {
  std::vector<evacuation> statements;
};

/// A message of a type that this version does not know. Ignored, so that
/// gateways of several versions can be linked.
struct unknown_gateway_message {};

using gateway_message = std::variant<
    gateway_hello, gateway_ping, stage_job_message, stage_outcome_message,
    stage_cancellation_message, stage_release_message, routes_message,
    leaving_targets_message, upcoming_stage_message, service_load_message,
    gateway_shutdown_notice, crash_report, gateway_slow_state, routes_request,
    limit_report, slot_request, slot_reply, gateway_view, store_read_message,
    evacuations_message, unknown_gateway_message>;

}  // namespace wisteriadale::core
