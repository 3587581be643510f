// The operation of a request's non-idempotent stage: reserved, recorded, or
// found under the caller's key.

#include "core/pipeline/request_executor.h"

namespace wisteriadale::core {

using common::result_code;

void request_executor::TryOperation() {
  if (operation_->done()) {
    OnStageDone(operation_->result());
    return;
  }
  if (!operation_->free()) return;  // the row is being polled
  const target_view* chosen = ChooseTarget();
  if (chosen == nullptr) {
    RetryLater();
    return;
  }
  operation_record wanted;
  wanted.request_id = description_.id;
  wanted.target = chosen->id;
  wanted.incarnation = chosen->incarnation;
  wanted.token_window = chosen->load.token_window;
  wanted.router = router_.router_name;
  operation_->Reserve(std::move(wanted));
}

void request_executor::OnOperationFree() {
  if (!row_loaded_) {
    row_loaded_ = true;
    StartStage();
    return;
  }
  if (dispatch_error_ != result_code::kOk &&
      !common::Describe(dispatch_error_).retryable) {
    Fail(dispatch_error_, "", execution_status::kNotRun);
    return;
  }
  RetryLater();
}

void request_executor::OnOperationReserved(
    const operation_record& reservation) {
  Dispatch(reservation.target, reservation.incarnation, &reservation);
}

void request_executor::OnOperationRecorded(const std::string& result) {
  if (ended_) return;
  if (row_loaded_) {
    OnStageDone(result);
    return;
  }
  row_loaded_ = true;
  replayed_ = true;
  const std::vector<pipeline_stage>& stages = description_.plan.stages;
  // The recorded result is the whole answer unless more stages follow it.
  if (!stages.back().idempotent) {
    stage_index_ = stages.size() - 1;
    OnStageDone(result);
    return;
  }
  StartStage();
}

void request_executor::OnOperationKeyReused() {
  Fail(result_code::kKeyReused,
       "the idempotency key was used with another body",
       execution_status::kNotRun);
}

}  // namespace wisteriadale::core
