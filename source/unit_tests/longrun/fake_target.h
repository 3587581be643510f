#pragma once

#include <map>
#include <string>

#include "common/random.h"
#include "core/agent/target_client.h"
#include "unit_tests/fakes/virtual_time.h"
#include "unit_tests/longrun/ledger.h"

namespace wisteriadale::longrun {

/// @return the text that an engine generates for a caller's body
std::string EngineText(const std::string& body);
/// @return the JSON result of a stage without a stream
std::string StageResult(const std::string& stage, const std::string& body);

/// Shares of runs that end badly.
struct target_faults {
  double fails = 0;
  double cuts = 0;
  double crashes = 0;
  bool slow = false;
};

/// A target of any pool. It outlives its agent, so what runs goes on when the
/// agent dies.
class fake_target final : public core::target_client {
 public:
  fake_target(std::string id, fakes::virtual_time& time,
              common::random_source& random, ledger& runs)
      : id_(std::move(id)), time_(time), random_(random), ledger_(runs) {}

  void Run(const core::execute_message& execute,
           core::target_observer* observer) override;
  void Cancel(std::string_view attempt_id) override;

  /// The agent died: nobody follows what runs.
  void Detach();
  size_t followed() const { return runs_.size(); }
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
  void End(const std::string& attempt_id, const core::target_result& result);
  void Crash();
  common::duration ServiceTime();

  std::string id_;
  fakes::virtual_time& time_;
  common::random_source& random_;
  ledger& ledger_;
  std::map<std::string, run> runs_;
  uint64_t next_serial_ = 1;
};

}  // namespace wisteriadale::longrun
