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
#include "core/forwarding/gateway_retry_budget.h"
#include "core/ports/deployment_codec.h"
#include "core/routes/route_table.h"
#include "core/stages/piece_queue.h"
#include "net/event_loop.h"
#include "net/http1_client.h"

namespace wisteriadale::gateway {

/// Runs the queues of the services that this gateway owns: makes the calls that
/// they decide on, and frees results.
class stage_dispatcher {
 public:
  /// Takes how an order of a gateway ended.
  using outcome_handler = std::function<void(const std::string& gateway,
                                             const core::stage_job_outcome&)>;
  /// Takes the load of a queue, now and then while there is any.
  using load_handler = std::function<void(const std::string& service,
                                          const core::service_load&)>;

  stage_dispatcher(net::event_loop& loop, common::clock& clock,
                   net::http1_client& client,
                   const core::deployment_codec& codec,
                   const core::route_holder& routes,
                   core::target_directory& targets,
                   core::gateway_retry_budget& retry_budget,
                   outcome_handler on_outcome, load_handler on_load);
  ~stage_dispatcher();
  stage_dispatcher(const stage_dispatcher&) = delete;
  stage_dispatcher& operator=(const stage_dispatcher&) = delete;

  /// @param gateway who asked
  void Enqueue(const std::string& gateway, const core::stage_job& order);
  /// An order will come.
  void Announce(const core::upcoming_stage& notice);
  void Cancel(std::string_view request_id);
  /// Frees results of a service soon.
  void Release(const std::string& service,
               std::span<const std::string> handles);
  /// A gateway is lost: its orders are of no use.
  void CancelAllFrom(std::string_view gateway);
  /// @return whether calls are in progress
  bool busy() const { return !calls_.empty(); }

 private:
  class stage_call;
  class release_call;
  /// Service and address of a target.
  using maker = std::pair<std::string, std::string>;

  core::piece_queue* QueueOf(const std::string& service);
  void PumpAll();
  /// Queues again what calls that are overdue were to make.
  void CheckOverdue();
  bool MayRepeat(const stage_call& call);
  void Pump(const std::string& service, core::piece_queue* queue);
  void StartCall(const std::string& service, core::piece_batch batch);
  void OnCallEnd(stage_call* ended,
                 const std::vector<core::piece_result>& results);
  void Report(const std::string& service,
              const std::vector<core::stage_job_outcome>& ends);
  void TellLoads();
  void SendReleases();
  void OnReleased(release_call* ended);

  net::event_loop& loop_;
  common::clock& clock_;
  net::http1_client& client_;
  const core::deployment_codec& codec_;
  const core::route_holder& routes_;
  core::target_directory& targets_;
  core::gateway_retry_budget& retry_budget_;
  outcome_handler on_outcome_;
  load_handler on_load_;
  std::map<std::string, std::unique_ptr<core::piece_queue>> queues_;
  /// Which gateway asked for a request's stages.
  std::unordered_map<std::string, std::string> askers_;
  std::unordered_map<stage_call*, std::unique_ptr<stage_call>> calls_;
  std::unordered_map<release_call*, std::unique_ptr<release_call>> releases_;
  std::map<maker, std::vector<std::string>> to_free_;
  common::timer_id pump_timer_ = 0;
  common::timer_id release_timer_ = 0;
  common::timer_id load_timer_ = 0;
};

}  // namespace wisteriadale::gateway
