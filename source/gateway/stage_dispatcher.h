#pragma once

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_statements.h"
#include "core/forwarding/gateway_retry_budget.h"
#include "core/limits/target_limits.h"
#include "core/limits/target_slots.h"
#include "core/ports/deployment_codec.h"
#include "core/quarantine/crash_watch.h"
#include "core/routes/route_table.h"
#include "core/stages/piece_queue.h"
#include "net/event_loop.h"
#include "net/http1_client.h"

namespace wisteriadale::gateway {

/// Holds the piece queues of the services that this gateway owns, sends the
/// calls that they form to targets, and releases results.
class stage_dispatcher {
 public:
  /// Called with the outcome of a job.
  using outcome_handler = std::function<void(const core::stage_job_outcome&)>;
  /// Called periodically with the load of each queue that has any.
  using load_handler = std::function<void(const std::string& service,
                                          const core::service_load&)>;

  stage_dispatcher(
      net::event_loop& loop, common::clock& clock, net::http1_client& client,
      const core::deployment_codec& codec, const core::route_holder& routes,
      core::target_directory& targets, core::gateway_retry_budget& retry_budget,
      core::target_statements& statements, core::target_limits& limits,
      core::target_slots& slots, core::crash_suspects& suspects,
      core::crash_watch& crash_watch, outcome_handler on_outcome,
      load_handler on_load);
  ~stage_dispatcher();
  stage_dispatcher(const stage_dispatcher&) = delete;
  stage_dispatcher& operator=(const stage_dispatcher&) = delete;

  /// @param policy of the queues that are made from now on
  void SetQueuePolicy(const core::queue_policy& policy) {
    queue_policy_ = &policy;
  }
  /// Queues a job. The outcome may be reported before this returns.
  void Enqueue(const core::stage_job& job);
  /// Tells the queue of a job that will be submitted later.
  void Announce(const core::upcoming_stage& upcoming);
  /// Drops all jobs of a request and releases their results.
  void Cancel(std::string_view request_id);
  /// Releases results of a service at their targets, after a short delay.
  void Release(const std::string& service,
               std::span<const std::string> handles);
  /// Cancels all jobs that a gateway submitted, because it is lost.
  void CancelAllFrom(std::string_view gateway);
  /// @return whether calls that compute pieces are in progress
  bool busy() const { return !calls_.empty(); }

 private:
  class stage_call;
  class release_call;
  /// Service, and address of the target that holds a result.
  using result_location = std::pair<std::string, std::string>;

  /// @return the queue, or null if the service is unknown or runs no pieces
  core::piece_queue* FindOrCreateQueue(const std::string& service);
  /// Reports a job as failed that is not queued.
  void Reject(const core::stage_job& job, std::string_view why);
  void DispatchAll();
  /// Queues the pieces of overdue calls again, within the retry budget.
  void RequeueOverdue();
  /// @return whether the retry budget allows a retry of each request of the
  /// call
  bool TryAcquireRetries(const stage_call& call);
  /// Ends expired jobs and starts all calls that can start now.
  void Dispatch(const std::string& service, core::piece_queue* queue);
  /// @return the targets of a service whose limits allow a call now. Asks for
  /// slots of the others.
  core::target_directory::pool SendableTargets(const std::string& service);
  void StartCall(const std::string& service, core::piece_batch batch);
  /// Ends a call: the only place where calls for pieces end.
  /// @param failure why there is no complete response, if there is none
  void OnCallEnd(stage_call* ended,
                 const std::vector<core::piece_result>& results,
                 std::optional<net::call_failure> failure);
  /// Counts a call without a response that one of its requests may have caused
  /// by crashing the target.
  /// @return whether the target may have crashed
  bool RecordSuspectedCrash(const core::piece_batch& batch,
                            net::call_failure failure);
  /// Fails the jobs of the batch's requests that are refused by now.
  void FailRefused(const std::string& service, const core::piece_batch& batch,
                   core::piece_queue* queue);
  /// Releases results that nobody needs, and passes the outcomes on.
  void ReportOutcomes(const std::string& service,
                      const std::vector<core::stage_job_outcome>& outcomes);
  void ReportLoads();
  void ScheduleReleases(common::duration delay);
  void SendReleases();
  void OnReleaseEnd(release_call* ended);

  net::event_loop& loop_;
  common::clock& clock_;
  net::http1_client& client_;
  const core::deployment_codec& codec_;
  const core::route_holder& routes_;
  core::target_directory& targets_;
  core::gateway_retry_budget& retry_budget_;
  core::target_statements& statements_;
  core::target_limits& limits_;
  core::target_slots& slots_;
  core::crash_suspects& suspects_;
  core::crash_watch& crash_watch_;
  const core::queue_policy* queue_policy_ = &core::DefaultQueuePolicy();
  outcome_handler on_outcome_;
  load_handler on_load_;
  std::map<std::string, std::unique_ptr<core::piece_queue>> queues_;
  std::unordered_map<stage_call*, std::unique_ptr<stage_call>> calls_;
  std::unordered_map<release_call*, std::unique_ptr<release_call>> releases_;
  std::map<result_location, std::vector<std::string>> pending_releases_;
  common::timer_id dispatch_timer_ = 0;
  common::timer_id release_timer_ = 0;
  common::timer_id load_timer_ = 0;
};

}  // namespace wisteriadale::gateway
