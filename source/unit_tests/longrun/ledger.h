#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::longrun {

/// One run of a non-idempotent stage at a target.
struct ledger_run {
  std::string operation_key;
  std::string token;
  std::string request_id;
  std::string digest;  ///< of the caller's body
  std::string target;
  common::time_point at;
};

/// Every non-idempotent run of all targets. It is what callers' answers are
/// checked against.
class ledger {
 public:
  /// Adds a run. Two runs of one key, and a run of a request that was answered
  /// "not run", break an invariant.
  void Add(const ledger_run& run);
  /// Notes that a caller was told that a request did not run.
  /// @param asked when the request was sent
  void ToldNotRun(const std::string& request_id,
                  const std::string& operation_key, const std::string& digest,
                  common::time_point asked);

  /// Notes that the run of a token ended with a result.
  void EndWell(const std::string& token) { ended_well_.insert(token); }
  bool EndedWell(const std::string& token) const {
    return ended_well_.contains(token);
  }
  bool Ran(const std::string& operation_key) const {
    return runs_.contains(operation_key);
  }
  size_t size() const { return runs_.size(); }
  /// @return answers "not run" given while another request under the same key
  ///         ran at the same time
  uint64_t concurrent_not_run() const { return concurrent_not_run_; }

 private:
  std::map<std::string, ledger_run> runs_;
  std::set<std::string> told_not_run_;
  std::set<std::string> ended_well_;
  uint64_t concurrent_not_run_ = 0;
};

}  // namespace wisteriadale::longrun
