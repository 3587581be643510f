#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "core/fleet/gateway_messages.h"
#include "core/stages/piece_queue.h"
#include "gateway/gateway_links.h"
#include "gateway/stage_dispatcher.h"

namespace wisteriadale::gateway {

/// Brings stages to the gateway that owns their service's queue, and their ends
/// back. When an owner is lost its orders go to the next one: pieces may be
/// made again.
class stage_router {
 public:
  using outcome_handler =
      std::function<void(const core::stage_outcome_message&)>;

  stage_router(std::string name, gateway_links& links, common::clock& clock,
               common::timer_service& timers);

  /// @param dispatcher runs the queues that this gateway owns
  void SetDispatcher(stage_dispatcher& dispatcher) {
    dispatcher_ = &dispatcher;
  }

  /// Asks for a stage.
  /// @param on_outcome called once, unless cancelled, and never within Submit
  void Submit(const core::stage_job& order, outcome_handler on_outcome);
  /// Announces an order that will be submitted.
  void Announce(const core::upcoming_stage& notice);
  /// The request needs its stages no more.
  void Cancel(const std::string& request_id);
  void Release(const std::string& service,
               const std::vector<std::string>& handles);

  /// A message of another gateway, or what the own host tells.
  void OnJob(const std::string& gateway,
             const core::stage_job_message& message);
  void OnUpcomingStage(const core::upcoming_stage_message& message);
  void OnOutcome(const core::stage_outcome_message& message);
  void OnCancellation(const core::stage_cancellation_message& message);
  void OnRelease(const core::stage_release_message& message);
  void OnGatewayLost(const std::string& gateway);
  /// Tells a gateway how its order ended.
  void ReportOutcome(const std::string& gateway,
                     const core::stage_job_outcome& end);

 private:
  struct pending_order {
    core::stage_job order;
    std::string owner;
    outcome_handler on_outcome;
  };

  std::string OwnerOf(std::string_view service) const;
  void Send(pending_order* pending);

  std::string name_;
  gateway_links& links_;
  common::clock& clock_;
  common::timer_service& timers_;
  stage_dispatcher* dispatcher_ = nullptr;
  /// By request id and stage.
  std::map<std::pair<std::string, uint32_t>, pending_order> pending_;
};

}  // namespace wisteriadale::gateway
