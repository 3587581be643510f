#pragma once

#include <map>
#include <string>

#include "common/random.h"
#include "core/agent/target_client.h"
#include "unit_tests/fakes/virtual_time.h"
#include "unit_tests/longrun/execution_log.h"

namespace wisteriadale::longrun {

/// @return the text that an engine target generates for a request body
std::string EngineText(const std::string& body);
/// @return the JSON result of a stage that does not stream
std::string StageResult(const std::string& stage, const std::string& body);

/// Injected faults of a target. The shares are probabilities: the truncation
/// share for each chunk, the others for each step of a run.
struct target_faults {
  double failure_share = 0;
  double truncation_share = 0;
  double crash_share = 0;
  bool slow = false;  ///< each step takes kSlowFactor times as long
};

/// Simulated target of any pool. The object outlives its agent; its runs do not
/// (see Detach).
class fake_target final : public core::target_client {
 public:
  fake_target(std::string id, fakes::virtual_time& time,
              common::random_source& random, execution_log& runs)
      : id_(std::move(id)),
        time_(time),
        random_(random),
        execution_log_(runs) {}

  void Run(const core::execute_message& execute,
           core::target_observer* observer) override;
  void Cancel(std::string_view attempt_id) override;

  /// Drops all runs, as the agent that observes them is gone.
  void Detach();
  /// @return the number of runs that have not ended
  size_t active_runs() const { return runs_.size(); }
  target_faults faults;

 private:
  struct run {
    core::execute_message execute;
    core::target_observer* observer = nullptr;
    std::string text;
    size_t position = 0;
    uint64_t serial = 0;
  };

  void Step(const std::string& attempt_id, uint64_t serial);
  void Finish(const std::string& attempt_id, const core::target_result& result);
  void Crash();
  common::duration ServiceTime();

  std::string id_;
  fakes::virtual_time& time_;
  common::random_source& random_;
  execution_log& execution_log_;
  std::map<std::string, run> runs_;
  uint64_t next_serial_ = 1;
};

}  // namespace wisteriadale::longrun
