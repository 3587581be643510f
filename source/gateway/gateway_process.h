#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "common/clock.h"
#include "common/random.h"
#include "core/admission/stage_admission.h"
#include "core/fleet/fleet_sync.h"
#include "core/fleet/target_directory.h"
#include "core/fleet/target_ejection.h"
#include "core/forwarding/gateway_retry_budget.h"
#include "core/forwarding/target_selector.h"
#include "core/ports/deployment_codec.h"
#include "core/ports/row_store.h"
#include "core/routes/route_table.h"
#include "core/stages/stage_latency_estimator.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_links.h"
#include "gateway/stage_dispatcher.h"
#include "gateway/stage_router.h"
#include "net/event_loop.h"
#include "net/http1_client.h"
#include "net/http1_server.h"
#include "net/http_server.h"
#include "settings/settings_document.h"

namespace wisteriadale::gateway {

/// The parts of a gateway and how they are connected.
class gateway_process {
 public:
  /// @return the process, or nothing with LastReason set
  static std::optional<std::unique_ptr<gateway_process>> Create(
      const settings::settings_document& settings);
  /// Reads the settings again.
  using settings_reader =
      std::function<std::optional<settings::settings_document>()>;

  /// Runs until a signal stops it.
  /// @param read_again called when a signal tells that the settings changed
  void Run(const settings_reader& read_again);

 private:
  struct message_reader;

  gateway_process() = default;

  bool MakeFleet(const settings::settings_document& settings);
  bool MakeServers(const settings::settings_document& settings);
  void ConnectParts();
  void OnRoutes();
  void OnLeaving(const core::fleet_target& target, core::leaving_reason why);
  void OnOperator(const std::shared_ptr<net::http1_exchange>& exchange);
  void ReadGateways();
  void AddSeeds(const settings::settings_document& settings);
  void Reload(const settings_reader& read_again);
  void Stop();
  void EndWhenIdle();
  bool Ready() const;

  common::system_clock clock_;
  std::unique_ptr<common::seeded_random> random_;
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<net::http1_client> client_;
  std::unique_ptr<core::deployment_codec> codec_;
  std::unique_ptr<core::row_store> rows_;
  core::route_holder routes_;
  core::target_directory targets_;
  core::target_ejection ejection_{core::target_ejection_options()};
  std::unique_ptr<core::fleet_sync> watch_;
  std::unique_ptr<core::gateway_retry_budget> retry_budget_;
  std::unique_ptr<core::target_selector> selector_;
  std::unique_ptr<core::crash_suspects> suspects_;
  std::unique_ptr<core::stage_latency_estimator> latency_estimator_;
  std::unique_ptr<core::caller_retry_detector> caller_retries_;
  std::unique_ptr<core::stage_admission> admission_;
  std::unique_ptr<gateway_links> links_;
  std::unique_ptr<stage_router> stages_;
  std::unique_ptr<stage_dispatcher> dispatcher_;
  std::unique_ptr<forwarder> forwarder_;
  std::unique_ptr<net::http1_server> callers_;
  std::unique_ptr<net::http1_server> operators_;
  std::unique_ptr<net::http_server> gateways_;
  std::string name_;
  std::string link_address_;
  common::duration stop_limit_{};
  common::time_point stop_began_{};
  bool stopping_ = false;
  size_t terminated_requests_ =
      0;  ///< requests that the grace was too short for
};

}  // namespace wisteriadale::gateway
