#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/operations/batching_table.h"
#include "core/pipeline/request_executor.h"
#include "core/policy/policy_provider.h"
#include "unit_tests/fakes/process_table.h"
#include "unit_tests/longrun/network.h"

namespace wisteriadale::longrun {

/// Opens a connection to the agent of a target, with the given router's end.
/// Returns nothing while the agent is down.
using dialler = std::function<std::shared_ptr<connection>(
    const std::string& target, const endpoint& router_end)>;

/// A target that is announced to the routers.
struct target_listing {
  std::string id;
  std::string pool;
};

/// One router process, from start to crash: the production core on top of a
/// simulated network, clock and table.
class router_node final : public core::agent_sender,
                          public std::enable_shared_from_this<router_node> {
 public:
  router_node(const std::string& name, fakes::virtual_time& time,
              core::table& rows, common::random_source& random, dialler dial);

  /// Starts to connect to the targets and to ping them.
  void Start(const std::vector<target_listing>& targets);
  bool Send(std::string_view target, const core::message& message) override;
  /// Simulates the network side of a crash.
  /// @param silently drop all messages instead of closing the connections
  void DropLinks(bool silently);

  core::executor_dependencies& dependencies() { return dependencies_; }
  core::attempt_table& attempts() { return attempts_; }
  fakes::process_time& process() { return process_; }
  const std::map<std::string, std::shared_ptr<connection>, std::less<>>& links()
      const {
    return links_;
  }

 private:
  void Tick();
  void Dial(const std::string& target);
  void OnMessage(const std::string& target, const connection* link,
                 const core::message& message);
  void OnHello(const std::string& target, const core::hello_message& hello);
  void OnClosed(const std::string& target, const connection* link);

  fakes::process_time process_;
  fakes::process_table rows_;
  dialler dial_;
  core::target_table targets_;
  core::policy_provider policies_;
  core::attempt_table attempts_;
  core::batching_table batched_;
  core::operation_store operations_;
  core::executor_dependencies dependencies_;
  std::map<std::string, std::shared_ptr<connection>, std::less<>> links_;
  std::map<std::string, common::time_point, std::less<>> last_heard_;
};

}  // namespace wisteriadale::longrun
