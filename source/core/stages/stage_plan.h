#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// Most pieces that the stages of one request may have. Their handles pass
/// between gateways in one message, whose lists are bounded.
constexpr uint32_t kMaxPieces = 4096;

/// Progress of the stages of one request: a dependency graph that says which
/// stages can start, which results they take, and which results can be
/// released.
class stage_plan {
 public:
  /// @param stages stages of the request's route
  /// @param pieces number of pieces of each stage; 0 skips a stage
  /// @return the plan, or nothing with LastError set
  static std::optional<stage_plan> Create(std::span<const stage_spec> stages,
                                          std::span<const uint32_t> pieces);

  /// @return stages that have not started and whose dependencies are complete
  std::vector<uint32_t> Ready() const;
  void Start(uint32_t stage) { stages_[stage].started = true; }
  bool started(uint32_t stage) const { return stages_[stage].started; }
  /// @return whether another stage takes this stage's results
  bool has_dependents(uint32_t stage) const {
    return stages_[stage].has_dependents;
  }
  /// Marks a stage as complete.
  /// @param handles results of all its pieces, in the order of the pieces
  void Complete(uint32_t stage, std::vector<std::string> handles);
  /// @return whether every stage is complete
  bool complete() const;

  uint32_t pieces(uint32_t stage) const { return stages_[stage].pieces; }
  /// @return result handles of the stages that a stage depends on
  std::vector<std::string> InputsOf(uint32_t stage) const;
  /// @return result handles of the final stages, the inputs of the request
  /// itself
  std::vector<std::string> FinalInputs() const;
  /// @return stages whose results no later stage needs; each is returned once
  std::vector<uint32_t> TakeReleasable();
  /// @return all other stages with results, to be released now
  std::vector<uint32_t> TakeUnreleased();
  /// @param remaining time that each stage still takes, without its
  /// dependencies
  /// @return time until the other stages complete, as if `stage` took no time
  common::duration CriticalPathWithout(
      uint32_t stage, std::span<const common::duration> remaining) const;
  /// @return approximate size of the result of one piece
  uint64_t result_bytes(uint32_t stage) const {
    return stages_[stage].result_bytes;
  }
  /// @return stages without dependents
  std::vector<uint32_t> FinalStages() const;
  const std::vector<std::string>& handles(uint32_t stage) const {
    return stages_[stage].handles;
  }

 private:
  struct stage_state {
    std::vector<uint32_t> depends_on;
    uint32_t pieces = 0;
    uint64_t result_bytes = 0;
    bool has_dependents = false;  ///< another stage takes its results
    bool started = false;
    bool complete = false;
    bool released = false;  ///< returned by TakeReleasable or TakeUnreleased
    std::vector<std::string> handles;
  };

  std::vector<stage_state> stages_;
};

}  // namespace wisteriadale::core
