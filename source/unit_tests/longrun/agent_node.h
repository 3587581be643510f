#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/agent/attempt_scheduler.h"
#include "core/operations/operation_recorder.h"
#include "unit_tests/fakes/process_table.h"
#include "unit_tests/longrun/fake_target.h"
#include "unit_tests/longrun/network.h"

namespace wisteriadale::longrun {

/// One incarnation of an agent: the production attempt scheduler on top of a
/// simulated network, clock, table and target.
class agent_node final : public core::router_sender,
                         public core::target_client,
                         public core::target_observer,
                         public std::enable_shared_from_this<agent_node> {
 public:
  agent_node(std::string id, uint64_t incarnation, fakes::virtual_time& time,
             core::table& rows, common::random_source& random,
             fake_target& target);
  ~agent_node() override { target_.Detach(); }

  /// Accepts a router's connection and sends the hello message.
  /// @return the agent's end of the connection
  endpoint Accept(const std::shared_ptr<connection>& link);

  void Send(core::router_connection_id link,
            const core::message& message) override;
  void Run(const core::execute_message& execute,
           core::target_observer* observer) override;
  void Cancel(std::string_view attempt_id) override;
  void OnTargetChunk(std::string_view attempt_id,
                     std::string_view data) override;
  void OnTargetResult(std::string_view attempt_id,
                      const core::target_result& result) override;

  /// Drains the scheduler, then flushes the operation recorder.
  /// @param on_drained runs as an event of this process
  void Drain(std::function<void()> on_drained);
  /// @return the connections that the agent has not seen closed
  const std::map<core::router_connection_id, std::shared_ptr<connection>>&
  links() const {
    return links_;
  }
  fakes::process_time& process() { return process_; }
  const core::attempt_scheduler& scheduler() const { return scheduler_; }
  fake_target& target() { return target_; }
  uint64_t incarnation() const { return hello_.incarnation; }

 private:
  void OnMessage(core::router_connection_id link, const core::message& message);

  std::string id_;
  std::set<std::string, std::less<>> runs_;  ///< neither ended nor cancelled
  fakes::process_time process_;
  fakes::process_table rows_;
  fake_target& target_;
  core::hello_message hello_;
  core::attempt_scheduler scheduler_;
  core::operation_store operations_;
  core::operation_recorder recorder_;
  std::map<core::router_connection_id, std::shared_ptr<connection>> links_;
  core::router_connection_id next_link_ = 1;
};

}  // namespace wisteriadale::longrun
