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

/// Routes stage jobs to the gateway that owns the queue of their service, and
/// the outcomes back. If the owner is lost, its jobs go to the next owner, so
/// that pieces may be computed twice.
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

  /// Submits a job to the owner of its service's queue.
  /// @param on_outcome called once, unless cancelled, and never within Submit
  void Submit(const core::stage_job& job, outcome_handler on_outcome);
  /// Tells the owner of the queue of a job that will be submitted later.
  void Announce(const core::upcoming_stage& upcoming);
  /// Cancels all pending jobs of a request.
  void Cancel(const std::string& request_id);
  /// Releases results that are no longer needed.
  void Release(const std::string& service,
               const std::vector<std::string>& handles);

  /// Handles a message of another gateway. OnOutcome also handles the outcomes
  /// of the local dispatcher.
  void OnJob(const std::string& gateway,
             const core::stage_job_message& message);
  void OnUpcomingStage(const core::upcoming_stage_message& message);
  void OnOutcome(const core::stage_outcome_message& message);
  void OnCancellation(const core::stage_cancellation_message& message);
  void OnRelease(const core::stage_release_message& message);
  /// Cancels the jobs of a lost gateway, and submits those that it owned to
  /// their next owner.
  void OnGatewayLost(const std::string& gateway);
  /// Sends the outcome of a job to the gateway that submitted it.
  void ReportOutcome(const core::stage_job_outcome& outcome);

 private:
  struct pending_job {
    core::stage_job job;
    std::string owner;
    outcome_handler on_outcome;
  };

  /// @return name of the gateway that owns the queue of a service
  std::string OwnerOf(std::string_view service) const;
  /// Sends a job to its owner; runs it here if the owner can't be reached.
  void Send(pending_job* pending);

  std::string name_;
  gateway_links& links_;
  common::clock& clock_;
  common::timer_service& timers_;
  stage_dispatcher* dispatcher_ = nullptr;
  /// By request id and stage.
  std::map<std::pair<std::string, uint32_t>, pending_job> pending_;
};

}  // namespace wisteriadale::gateway
