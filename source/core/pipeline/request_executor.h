#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/random.h"
#include "common/trace.h"
#include "core/configuration/configuration.h"
#include "core/operations/operation_store.h"
#include "core/pipeline/attempt_table.h"
#include "core/pipeline/operation_coordinator.h"
#include "core/pipeline/stage_attempts.h"
#include "core/policy/policy_provider.h"
#include "core/quarantine/quarantine.h"
#include "core/routing/target_table.h"

namespace wisteriadale::core {

/// An admitted request.
struct request_description {
  std::string id;
  std::string organisation;
  uint32_t organisation_weight = 1;
  std::string body;             ///< JSON text
  std::string digest;           ///< of pipeline and body
  std::string idempotency_key;  ///< empty when the caller gave none
  common::milliseconds deadline{0};
  common::trace_context trace;
  pipeline_plan plan;
  std::shared_ptr<const configuration> configuration_in_force;
};

/// Report of a stage that has completed.
struct stage_report {
  std::string stage;
  std::string target;
  uint32_t attempts = 0;
  common::duration took{0};
  uint64_t target_us = 0;  ///< of took, the time on the target
  std::string result;      ///< JSON text
};

/// How a request ended.
struct request_result {
  common::result_code code = common::result_code::kOk;
  std::string reason;
  execution_status execution = execution_status::kDone;
  std::vector<stage_report> stages;
  std::string result;     ///< JSON text of the last stage
  bool replayed = false;  ///< the result was recorded by an earlier request
};

/// Receives a request's answer.
class request_sink {
 public:
  virtual ~request_sink() = default;
  /// The next bytes of a streamed stage, in order.
  virtual void OnData(std::string_view data) = 0;
  /// The request has ended; called exactly once, as the last event.
  virtual void OnEnd(const request_result& result) = 0;
};

/// Services that all executors of a router share.
struct executor_dependencies {
  common::clock& clock;
  common::timer_service& timers;
  common::random_source& random;
  target_table& targets;
  policy_provider& policies;
  attempt_table& attempts;
  operation_store& operations;
  std::string router_name;
  /// Null: crashes are not tracked.
  quarantine* quarantined_requests = nullptr;
};

/// Runs the stages of one request under its deadline.
class request_executor final
    : public attempt_observer,
      public operation_observer,
      public std::enable_shared_from_this<request_executor> {
 public:
  /// @return the executor; Start begins the work
  static std::shared_ptr<request_executor> Create(
      executor_dependencies& dependencies, request_description description,
      std::shared_ptr<request_sink> sink);

  /// Starts the request and its deadline.
  void Start();
  /// The caller disconnected. Cancels idempotent work; a non-idempotent stage
  /// continues.
  void OnCallerDisconnected();

  void OnChunk(std::string_view attempt_id, std::string_view data) override;
  void OnOutcome(const outcome_message& outcome) override;
  void OnLost(std::string_view attempt_id) override;
  void OnOperationFree() override;
  void OnOperationReserved(const operation_record& reservation) override;
  void OnOperationRecorded(const std::string& result) override;
  void OnOperationKeyReused() override;

 private:
  request_executor(executor_dependencies& dependencies,
                   request_description description,
                   std::shared_ptr<request_sink> sink)
      : router_(dependencies),
        description_(std::move(description)),
        sink_(std::move(sink)) {}

  const pipeline_stage& Stage() const;
  common::duration Remaining() const;
  void StartStage();
  void TryStage();
  bool ShouldStartStage() const;
  target_view* ChooseTarget();
  target_view* SuspectTarget(const target_pool& pool) const;
  quarantine_status CrashStatus() const;
  void ReportCrash(const outcome_message& outcome, bool exclusive);
  void TryOperation();
  void Dispatch(const std::string& target, uint64_t incarnation,
                const operation_record* reservation, bool hedge = false);
  void OnStageDone(const std::string& result);
  void OnStageFailed(const outcome_message& outcome);
  void RetryLater();
  void RetryAfter(common::duration delay);
  retry_context Context(common::result_code code) const;
  void ScheduleHedge();
  void OnHedgeDue();
  void ScheduleTimeout(running_attempt* attempt, common::duration limit);
  void OnAttemptTimeout(const std::string& attempt_id, common::duration limit);
  void CancelOthers(std::string_view attempt_id);
  void OnOperationFailed(const outcome_message& outcome);
  void OnDeadline();
  bool AwaitsRecord() const;
  void OnTokenRevoked(token_status status);
  void FailUnfinished(common::result_code code, const std::string& reason);
  void StopWork();
  void RecordAttempt(const running_attempt& attempt, common::result_code code);
  void EndAttempt(const std::string& attempt_id);
  void Fail(common::result_code code, const std::string& reason,
            execution_status status);
  void Finish(request_result result);
  std::string StageInput() const;

  executor_dependencies& router_;
  request_description description_;
  std::shared_ptr<request_sink> sink_;
  common::time_point deadline_;
  common::timer_id deadline_timer_ = 0;
  common::timer_id retry_timer_ = 0;
  size_t stage_index_ = 0;
  std::shared_ptr<policy_set> policies_;
  std::string prefix_key_;
  std::string stage_key_;       ///< pipeline and stage that runs now
  uint32_t attempts_made_ = 0;  ///< of the stage that runs now
  uint32_t backoffs_ = 0;       ///< of the stage that runs now
  uint32_t request_retries_ = 0;
  common::time_point stage_started_;
  std::vector<std::string> tried_targets_;
  stage_attempts running_;
  common::timer_id hedge_timer_ = 0;
  std::string stream_;  ///< of the stage that runs now
  std::vector<stage_report> reports_;
  /// Null without a non-idempotent stage.
  std::shared_ptr<operation_coordinator> operation_;
  /// Why the operation was not begun.
  common::result_code dispatch_error_ = common::result_code::kOk;
  bool row_loaded_ = false;  ///< the operation's row was read
  bool replayed_ = false;    ///< an earlier request ran the operation
  bool ended_ = false;       ///< no more work is started
  bool answered_ = false;
  /// Keeps the executor alive while a dispatched operation may still end.
  std::shared_ptr<request_executor> keep_alive_;
};

}  // namespace wisteriadale::core
