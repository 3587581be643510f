#include "unit_tests/longrun/ledger.h"

#include "common/invariant.h"

namespace wisteriadale::longrun {

void ledger::Add(const ledger_run& run) {
  const auto [at, added] = runs_.emplace(run.operation_key, run);
  common::CheckInvariant(added, "operation_runs_once",
                         run.operation_key + " ran at " + at->second.target +
                             " under token " + at->second.token + " and at " +
                             run.target + " under " + run.token);
  common::CheckInvariant(!told_not_run_.contains(run.request_id),
                         "not_run_is_true",
                         run.request_id + " ran after its answer");
}

void ledger::ToldNotRun(const std::string& request_id,
                        const std::string& operation_key,
                        const std::string& digest, common::time_point asked) {
  told_not_run_.insert(request_id);
  const auto found = runs_.find(operation_key);
  // What ran under the key for another body is not this request's.
  if (found == runs_.end() || found->second.digest != digest) return;
  const bool own = found->second.request_id == request_id;
  const bool earlier = found->second.at < asked;
  common::CheckInvariant(!own && !earlier, "not_run_is_true",
                         operation_key + " had run before the answer to " +
                             request_id + " by " + found->second.request_id);
  ++concurrent_not_run_;
}

}  // namespace wisteriadale::longrun
