#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/longrun/agent_node.h"
#include "unit_tests/longrun/callers.h"
#include "unit_tests/longrun/router_node.h"

namespace wisteriadale::longrun {

/// Options of one randomised run.
struct run_options {
  uint64_t seed = 1;
  /// Time with faults, in virtual time.
  common::duration duration = std::chrono::minutes(2);
};

/// Counts of one run.
struct run_report {
  caller_counts callers;
  uint64_t faults = 0;                ///< injected
  uint64_t operations_run = 0;        ///< non-idempotent stages that ran
  uint64_t rows_reserved_at_end = 0;  ///< operations still in doubt
  /// See execution_log::concurrent_not_run.
  uint64_t not_run_during_concurrent_run = 0;
  uint64_t table_reads = 0;
  uint64_t table_writes = 0;
};

/// Simulation of routers, agents, targets, callers and the table under virtual
/// time, with random faults. A violated invariant aborts the process.
class simulation {
 public:
  explicit simulation(const run_options& options);

  /// Runs with faults for the duration, then without until no work is left.
  /// @return the counts of the run
  run_report Run();

 private:
  /// A target and its agent.
  struct target_node {
    target_listing listing;
    std::unique_ptr<fake_target> target;
    std::shared_ptr<agent_node> agent;
    bool draining = false;
  };

  std::shared_ptr<connection> Dial(const std::string& target,
                                   const endpoint& router_end);
  void StartRouter(size_t index);
  void StartAgent(target_node* node);
  void CallerLoop();
  void FaultLoop();
  void InjectFault();

  void CrashRouter();
  void PauseRouter();
  void CrashAgent();
  void PauseAgent();
  void DrainAgent();
  void InjectConnectionFault();
  void InjectTableFault();
  void InjectTargetFault();
  void ClearFaults();
  void CheckResultsRecorded() const;
  void CheckQuiescent() const;

  /// @return a uniformly random duration from 1 us to max
  common::duration RandomUpTo(common::duration max);
  target_node& RandomTargetNode() {
    return nodes_[random_.Below(nodes_.size())];
  }

  run_options options_;
  fakes::virtual_time time_;
  common::seeded_random random_;
  fakes::fake_table table_;
  execution_log execution_log_;
  std::vector<target_node> nodes_;
  callers::router_list routers_;
  callers callers_;
  std::vector<std::shared_ptr<connection>> connections_;
  uint64_t next_incarnation_ = 1;
  uint64_t faults_ = 0;
  bool finished_ = false;  ///< no new requests or faults
};

}  // namespace wisteriadale::longrun
