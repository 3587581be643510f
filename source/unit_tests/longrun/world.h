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

/// How one randomised run goes.
struct run_options {
  uint64_t seed = 1;
  common::duration duration = std::chrono::minutes(2);
};

/// What one run saw.
struct run_report {
  caller_counts callers;
  uint64_t faults = 0;
  uint64_t operations_run = 0;
  uint64_t rows_reserved_at_end = 0;
  uint64_t not_run_beside_concurrent_run = 0;
  uint64_t table_reads = 0;
  uint64_t table_writes = 0;
};

/// Routers, agents, targets, callers and the table under virtual time, with
/// random faults. A broken invariant aborts the process.
class world {
 public:
  explicit world(const run_options& options);

  /// Runs with faults for the duration, then without until all is at rest.
  run_report Run();

 private:
  struct site {
    listed_target listed;
    std::unique_ptr<fake_target> target;
    std::shared_ptr<agent_node> agent;
    bool draining = false;
  };

  std::shared_ptr<connection> Dial(const std::string& target,
                                   const endpoint& router_end);
  void StartRouter(size_t index);
  void StartAgent(site* where);
  void CallerLoop();
  void FaultLoop();
  void OneFault();

  void CrashRouter();
  void PauseRouter();
  void CrashAgent();
  void PauseAgent();
  void DrainAgent();
  void TroubleConnection();
  void TroubleTable();
  void TroubleTarget();
  void StopFaults();
  void CheckResultsRecorded() const;
  void CheckAtRest() const;

  common::duration RandomUpTo(common::duration most);
  site& RandomSite() { return sites_[random_.Below(sites_.size())]; }

  run_options options_;
  fakes::virtual_time time_;
  common::seeded_random random_;
  fakes::fake_table table_;
  ledger ledger_;
  std::vector<site> sites_;
  callers::router_list routers_;
  callers callers_;
  std::vector<std::shared_ptr<connection>> connections_;
  uint64_t next_incarnation_ = 1;
  uint64_t faults_ = 0;
  bool over_ = false;
};

}  // namespace wisteriadale::longrun
