#include "unit_tests/longrun/execution_log.h"

#include "common/invariant.h"

namespace wisteriadale::longrun {

void execution_log::Add(const logged_run& run) {
  const auto [entry, added] = runs_.emplace(run.operation_key, run);
  common::CheckInvariant(added, "operation_runs_once",
                         run.operation_key + " ran at " + entry->second.target +
                             " under token " + entry->second.token +
                             " and at " + run.target + " under " + run.token);
  common::CheckInvariant(
      !answered_not_run_.contains(run.request_id), "not_run_is_true",
      run.request_id + " ran after it was answered \"not run\"");
}

void execution_log::RecordNotRun(const std::string& request_id,
                                 const std::string& operation_key,
                                 const std::string& digest,
                                 common::time_point sent_at) {
  answered_not_run_.insert(request_id);
  const auto found = runs_.find(operation_key);
  // A run for another body under the key is not a run of this request.
  if (found == runs_.end() || found->second.digest != digest) return;
  const bool same_request = found->second.request_id == request_id;
  const bool earlier = found->second.started_at < sent_at;
  common::CheckInvariant(
      !same_request && !earlier, "not_run_is_true",
      operation_key + " had already run when \"not run\" was answered to " +
          request_id + " by " + found->second.request_id);
  ++concurrent_not_run_;
}

}  // namespace wisteriadale::longrun
