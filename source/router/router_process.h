#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/callback_component.h"
#include "common/span_exporter.h"
#include "core/membership/vm_list_poller.h"
#include "core/operations/batching_table.h"
#include "core/overload/process_bounds.h"
#include "core/policy/policy_provider.h"
#include "net/http_server.h"
#include "platform/http_platform.h"
#include "router/agent_links.h"
#include "router/caller_api.h"
#include "router/control_plane.h"
#include "router/operator_api.h"
#include "settings/settings_document.h"

namespace wisteriadale::router {

/// Creates, connects and owns the components of a router process.
class router_process {
 public:
  /// @return the process, or nothing with LastError set
  static std::optional<std::unique_ptr<router_process>> Create(
      const settings::settings_document& settings);

  /// Runs until a stop signal has arrived and no request is in flight.
  void Run();

 private:
  router_process() = default;

  void OnHttp(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);
  void MakePlatform(const settings::settings_document& settings);
  void MakeExecutorDependencies(const settings::settings_document& settings);
  void MakeInterfaces(const settings::settings_document& settings);
  /// @return whether a request is answered without its body
  bool IsRefusedByHead(const net::http_request& request) const;
  void SendMetrics(net::http_responder* responder) const;
  /// @return false, with LastError set, when it cannot listen on the port
  bool Listen(const settings::settings_document& settings);
  void Supervise(const settings::settings_document& settings);
  void OnVmList(const std::vector<core::vm_entry>& entries);
  void Stop();
  bool Ready() const;

  common::system_clock clock_;
  std::unique_ptr<common::random_source> random_;
  std::unique_ptr<core::process_bounds> bounds_;  ///< used by loop_
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<common::span_exporter> spans_;  ///< null without a trace file
  core::hello_message hello_;
  std::unique_ptr<core::table> http_table_;
  std::unique_ptr<core::table> table_;  ///< http_table_, rate limited
  std::unique_ptr<core::object_store> objects_;
  std::unique_ptr<core::vm_list> vms_;
  core::target_table targets_;
  std::unique_ptr<core::policy_provider> policies_;
  std::unique_ptr<agent_links> links_;
  std::unique_ptr<core::attempt_table> attempts_;
  std::unique_ptr<core::batching_table> operation_rows_;
  std::unique_ptr<core::operation_store> operations_;
  std::unique_ptr<core::in_doubt_resolver> in_doubt_;
  std::unique_ptr<core::executor_dependencies> executor_dependencies_;
  std::unique_ptr<control_plane> control_;
  std::unique_ptr<caller_api> callers_;
  std::unique_ptr<operator_api> operators_;
  std::unique_ptr<net::http_server> server_;
  // The supervisor tree: started in this order, stopped in reverse.
  std::unique_ptr<common::callback_component> control_component_;
  std::unique_ptr<core::vm_list_poller> vm_list_component_;
  std::unique_ptr<common::callback_component> links_component_;
  std::unique_ptr<common::callback_component> callers_component_;
  std::unique_ptr<common::supervisor> root_;
  common::duration stop_grace_{};
  bool stopping_ = false;
};

}  // namespace wisteriadale::router
