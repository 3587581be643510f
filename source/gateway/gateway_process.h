#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "common/clock.h"
#include "common/process_usage.h"
#include "common/random.h"
#include "core/admission/stage_admission.h"
#include "core/admission/stop_admission.h"
#include "core/fleet/fleet_sync.h"
#include "core/fleet/routes_exchange.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_ejection.h"
#include "core/fleet/target_statements.h"
#include "core/forwarding/first_event_estimator.h"
#include "core/forwarding/gateway_retry_budget.h"
#include "core/forwarding/target_selector.h"
#include "core/limits/cold_targets.h"
#include "core/overload/process_bounds.h"
#include "core/ports/deployment_codec.h"
#include "core/ports/row_store.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"
#include "gateway/crash_links.h"
#include "gateway/evacuation_links.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_links.h"
#include "gateway/limit_links.h"
#include "gateway/operator_pages.h"
#include "gateway/stage_dispatcher.h"
#include "gateway/stage_router.h"
#include "net/event_loop.h"
#include "net/http1_client.h"
#include "net/http1_server.h"
#include "net/http_server.h"
#include "settings/settings_document.h"

/// The gateway process: forwards HTTP requests of callers by route to targets,
/// and runs the stages that they need first, over links between all gateways.
namespace wisteriadale::gateway {

/// Creates the components of a gateway process, connects them, and runs them
/// until a graceful stop.
class gateway_process {
 public:
  /// @return the process, or nothing with LastError set
  static std::optional<std::unique_ptr<gateway_process>> Create(
      const settings::settings_document& settings);
  /// Reads the settings file again.
  /// @return the settings, or nothing with LastError set
  using settings_reader =
      std::function<std::optional<settings::settings_document>()>;

  /// Runs until a stop signal and the graceful stop that follows it.
  /// @param read_again called on a reload signal
  void Run(const settings_reader& read_again);

 private:
  struct message_visitor;

  gateway_process() = default;

  /// Creates clients, codec and store, and what knows of routes, targets and
  /// other gateways.
  /// @return whether the settings were valid; else LastError is set
  bool CreateFleet(const settings::settings_document& settings);
  /// Starts to listen for callers, operators and links of other gateways.
  /// @return success; else LastError is set
  bool CreateServers(const settings::settings_document& settings);
  /// Limits the connections that are accepted.
  void LimitConnections();
  void ConnectComponents();
  /// Creates what keeps requests within the limits of targets.
  void CreateLimits();
  /// Passes a message of another gateway on to the component that handles it.
  void OnMessage(const std::string& gateway,
                 const core::gateway_message& message);
  /// Tells a gateway that joins what it cannot learn from the store.
  void OnGatewayJoined(const std::string& gateway);
  /// Applies the limits of new routes and announces their version to the other
  /// gateways.
  void OnRoutesChanged();
  /// Handles an announcement or the routes that this gateway requested.
  void OnRoutesMessage(const std::string& gateway,
                       const core::routes_message& message);
  void OnRoutesRequest(const std::string& gateway,
                       const core::routes_request& request);
  /// Passes what this gateway read from the store on to those of its data
  /// centre, if it reads for them.
  void OnStoreRead(const core::store_read& read, common::time_point read_at);
  void OnStoreReadMessage(const std::string& gateway,
                          const core::store_read_message& message);
  /// Chooses the gateway that reads the store for this data centre again.
  /// @return whether it is this one
  bool ReadsForDataCentre();
  void OnTargetLeaving(const core::fleet_target& target,
                       core::leaving_reason why);
  /// Writes the address at which other gateways reach this one to the store.
  void WriteOwnRow();
  /// Reads the addresses of the other gateways from the store, periodically,
  /// and writes its own if it is missing.
  void DiscoverGateways();
  /// Adds the configured addresses of other gateways.
  void AddSeeds(const settings::settings_document& settings);
  void Reload(const settings_reader& read_again);
  /// Starts the graceful stop.
  void Stop();
  /// Checks periodically whether the process is idle, or the grace period over.
  void StopWhenIdle();
  bool Ready() const;
  /// @return memory, descriptors and connections of the process
  common::process_usage ReadUsage() const;
  /// Logs the usage when it has grown notably, periodically.
  void CheckUsage();

  common::system_clock clock_;
  std::unique_ptr<common::seeded_random> random_;
  std::unique_ptr<core::process_bounds> bounds_;  ///< used by loop_
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<net::http1_client> client_;
  std::unique_ptr<core::deployment_codec> codec_;
  std::unique_ptr<core::row_store> store_;
  core::route_holder routes_;
  core::target_directory targets_;
  core::evacuations evacuations_;
  core::target_ejection ejection_{core::target_ejection_options()};
  std::unique_ptr<core::fleet_sync> fleet_sync_;
  std::unique_ptr<core::gateway_retry_budget> retry_budget_;
  core::first_event_estimator first_events_{
      core::first_event_estimator_options(), clock_};
  std::unique_ptr<core::target_selector> selector_;
  std::unique_ptr<core::stage_latency_estimator> latency_estimator_;
  std::unique_ptr<core::caller_retry_detector> caller_retries_;
  std::unique_ptr<core::stage_admission> admission_;
  core::stop_admission stop_admission_{core::stop_admission_options(), clock_};
  std::unique_ptr<gateway_links> links_;
  std::unique_ptr<evacuation_links> evacuation_links_;
  std::unique_ptr<crash_links> crash_links_;
  std::unique_ptr<core::target_statements> statements_;
  std::unique_ptr<core::target_limits> limits_;
  std::unique_ptr<core::cold_targets> cold_targets_;
  std::unique_ptr<limit_links> limit_links_;
  std::unique_ptr<core::target_slots> slots_;
  std::unique_ptr<core::routes_exchange> routes_exchange_;
  std::unique_ptr<stage_router> stage_router_;
  std::unique_ptr<stage_dispatcher> dispatcher_;
  std::unique_ptr<forwarder> forwarder_;
  std::unique_ptr<net::http1_server> caller_server_;
  std::unique_ptr<operator_pages> operator_pages_;
  std::unique_ptr<net::http1_server> operator_server_;
  std::unique_ptr<net::http_server> link_server_;
  std::string name_;
  std::string link_address_;
  std::string data_centre_;
  std::unique_ptr<core::store_reader_choice> store_reader_;
  core::statement_clock statement_clock_;
  /// When the addresses of the other gateways are read the next time.
  common::time_point next_discovery_{};
  common::duration stop_timeout_{};  ///< grace period without the margin
  common::time_point stop_started_{};
  common::usage_growth usage_growth_;
  bool writing_own_row_ = false;
  bool stopping_ = false;
  /// Requests that did not finish within the grace period.
  size_t terminated_requests_ = 0;
  /// What callers had not acknowledged at the end of the process.
  net::undelivered_responses given_up_;
};

}  // namespace wisteriadale::gateway
