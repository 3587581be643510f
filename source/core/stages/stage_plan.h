#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/routes/route_table.h"

namespace wisteriadale::core {

/// The stages of one request: which can begin, and which results they take.
class stage_plan {
 public:
  /// @param stages stages of the request's route
  /// @param pieces number of pieces of each stage; 0 leaves a stage out
  /// @return the plan, or nothing with LastReason set
  static std::optional<stage_plan> Create(std::span<const stage_spec> stages,
                                          std::span<const uint32_t> pieces);

  /// @return stages that can begin now
  std::vector<uint32_t> Ready() const;
  void Start(uint32_t stage) { entries_[stage].started = true; }
  bool started(uint32_t stage) const { return entries_[stage].started; }
  /// @return whether another stage takes the stage's results
  bool has_dependents(uint32_t stage) const {
    return entries_[stage].has_dependents;
  }
  /// @param handles of all pieces of a stage, in their order
  void Complete(uint32_t stage, std::vector<std::string> handles);
  /// @return whether every stage is complete
  bool complete() const;

  uint32_t pieces(uint32_t stage) const { return entries_[stage].pieces; }
  /// @return handles of all pieces of the stages that a stage follows
  std::vector<std::string> InputsOf(uint32_t stage) const;
  /// @return handles of the stages that no other stage follows
  std::vector<std::string> FinalInputs() const;
  /// @return stages whose results no stage needs any more; each is told once
  std::vector<uint32_t> TakeReleasable();
  /// @return stages with results that were not given up yet
  std::vector<uint32_t> TakeUnreleased();
  /// @param left time that each stage still takes by itself
  /// @return time until the other stages are made, without those behind `stage`
  common::duration CriticalPathWithout(
      uint32_t stage, std::span<const common::duration> left) const;
  /// @return bytes of the result of one piece, approximately
  uint64_t result_bytes(uint32_t stage) const {
    return entries_[stage].result_bytes;
  }
  /// @return stages that no other stage follows
  std::vector<uint32_t> FinalStages() const;
  const std::vector<std::string>& handles(uint32_t stage) const {
    return entries_[stage].handles;
  }

 private:
  struct entry {
    std::vector<uint32_t> depends_on;
    uint32_t pieces = 0;
    uint64_t result_bytes = 0;
    bool has_dependents = false;  ///< another stage takes its results
    bool started = false;
    bool complete = false;
    bool spent = false;
    std::vector<std::string> handles;
  };

  std::vector<entry> entries_;
};

}  // namespace wisteriadale::core
