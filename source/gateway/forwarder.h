#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/clock.h"
#include "common/random.h"
#include "core/admission/caller_retry_detector.h"
#include "core/admission/stage_admission.h"
#include "core/admission/stop_admission.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_ejection.h"
#include "core/fleet/target_statements.h"
#include "core/forwarding/first_event_estimator.h"
#include "core/forwarding/gateway_retry_budget.h"
#include "core/forwarding/target_selector.h"
#include "core/limits/target_limits.h"
#include "core/limits/target_slots.h"
#include "core/ports/deployment_codec.h"
#include "core/quarantine/crash_suspects.h"
#include "core/quarantine/crash_watch.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"
#include "gateway/stage_router.h"
#include "net/event_loop.h"
#include "net/http1_client.h"
#include "net/http1_server.h"

namespace wisteriadale::gateway {

/// Components that all requests of a gateway share.
struct forward_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  common::random_source& random;
  net::http1_client& client;
  const core::deployment_codec& codec;
  const core::route_holder& routes;
  core::target_directory& targets;
  core::target_selector& selector;
  core::first_event_estimator& first_events;
  core::gateway_retry_budget& retry_budget;
  const core::target_ejection& ejection;
  core::crash_suspects& suspects;       ///< requests
  core::crash_suspects& part_suspects;  ///< parts of prompts
  core::crash_watch& crash_watch;
  core::target_statements& statements;
  core::target_limits& limits;
  core::target_slots& slots;
  core::caller_retry_detector& caller_retries;
  stage_router& stages;
  core::stage_latency_estimator& latency_estimator;
  core::stage_admission& admission;
  core::stop_admission& stop;
};

class forward_request;

/// Owns the requests in progress: takes those of callers and forwards each to a
/// target of its route.
class forwarder {
 public:
  explicit forwarder(forward_dependencies dependencies);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /// @return whether a request is refused whatever its body is
  bool IsRefusedByHead(const net::message_head& head) const;
  /// Starts forwarding a request.
  void Handle(const std::shared_ptr<net::http1_exchange>& exchange);
  /// @return requests in progress
  size_t active() const { return requests_.size(); }
  /// Ends all requests at once; see forward_request::Terminate.
  /// @return number of requests ended
  size_t TerminateAll();
  /// Destroys a request that has ended.
  void Remove(forward_request* ended);

 private:
  forward_dependencies deps_;
  std::unordered_map<forward_request*, std::unique_ptr<forward_request>>
      requests_;
};

}  // namespace wisteriadale::gateway
