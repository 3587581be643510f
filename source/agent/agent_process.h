#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "agent/agent_control.h"
#include "agent/http_target.h"
#include "common/random.h"
#include "common/span_exporter.h"
#include "core/agent/attempt_scheduler.h"
#include "core/operations/operation_recorder.h"
#include "core/overload/process_bounds.h"
#include "net/http_server.h"
#include "platform/http_platform.h"
#include "settings/settings_document.h"

namespace wisteriadale::agent {

/// Creates, connects and owns the components of an agent process.
class agent_process final : public core::router_sender {
 public:
  /// @return the process, or nothing with LastError set
  static std::optional<std::unique_ptr<agent_process>> Create(
      const settings::settings_document& settings);

  /// Runs until a stop signal has arrived and no attempt is in flight.
  void Run();

  /// Sends a message to a router; ignored when the link has closed.
  void Send(core::router_connection_id link,
            const core::message& message) override;

  agent_control& control() { return *control_; }

 private:
  agent_process() = default;

  /// @return false, with LastError set, when a policy's name is unknown
  bool SetPolicies(const settings::settings_document& settings);
  void Accept(std::shared_ptr<net::channel> channel);
  void OnFrame(core::router_connection_id link, std::string_view frame);
  void OnHttp(const net::http_request& request, net::http_responder* responder);
  void Stop();
  void BroadcastLoad();
  void MakeScheduler(const settings::settings_document& settings);
  /// @return false, with LastError set, when it cannot listen on the port
  bool Listen(const settings::settings_document& settings);
  void MakeRecorder(const settings::settings_document& settings);
  void MakeControl(const settings::settings_document& settings);

  common::system_clock clock_;
  std::unique_ptr<common::random_source> random_;
  std::unique_ptr<core::process_bounds> bounds_;  ///< used by loop_
  std::unique_ptr<net::event_loop> loop_;
  std::unique_ptr<common::span_exporter> spans_;  ///< null without a trace file
  std::unique_ptr<http_target> target_;
  std::unique_ptr<core::table> http_table_;
  std::unique_ptr<core::table> table_;  ///< http_table_, rate limited
  std::unique_ptr<core::operation_store> operations_;
  std::unique_ptr<core::operation_recorder> recorder_;
  std::unique_ptr<core::attempt_scheduler> scheduler_;
  std::unique_ptr<core::vm_list> vms_;
  std::unique_ptr<agent_control> control_;
  std::unique_ptr<net::http_server> server_;
  std::unordered_map<core::router_connection_id, std::shared_ptr<net::channel>>
      channels_;
  core::router_connection_id next_link_ = 1;
  core::hello_message hello_;
  bool stopping_ = false;
};

}  // namespace wisteriadale::agent
