#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::longrun {

/// One execution of a non-idempotent stage at a target.
struct logged_run {
  std::string operation_key;
  std::string token;
  std::string request_id;
  std::string digest;  ///< of the request's pipeline and body
  std::string target;
  common::time_point started_at;
};

/// Log of every execution of a non-idempotent stage at any target. Callers
/// check their answers against it.
class execution_log {
 public:
  /// Adds a run. A second run under one key, or a run of a request that was
  /// already answered "not run", violates an invariant.
  void Add(const logged_run& run);
  /// Records that a caller was told that a request did not run. An earlier run
  /// under its key for the same body violates an invariant.
  /// @param sent_at when the request was sent
  void RecordNotRun(const std::string& request_id,
                    const std::string& operation_key, const std::string& digest,
                    common::time_point sent_at);

  /// Records that the run under a token ended with a result.
  void RecordSuccess(const std::string& token) { succeeded_.insert(token); }
  bool Succeeded(const std::string& token) const {
    return succeeded_.contains(token);
  }
  bool Ran(const std::string& operation_key) const {
    return runs_.contains(operation_key);
  }
  size_t size() const { return runs_.size(); }
  /// @return the number of "not run" answers whose key was run by another
  ///         request after this one had been sent
  uint64_t concurrent_not_run() const { return concurrent_not_run_; }

 private:
  std::map<std::string, logged_run> runs_;
  std::set<std::string> answered_not_run_;
  std::set<std::string> succeeded_;
  uint64_t concurrent_not_run_ = 0;
};

}  // namespace wisteriadale::longrun
