// Runs the stages of a request: work on other services whose results the
// request's target takes as inputs.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"
#include "gateway/forward_headers.h"
#include "gateway/forward_request.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Results may expire or be lost with their target once; there is hardly time
// for a second restart.
constexpr uint32_t kMaxStageRestarts = 1;
// A shorter delay is not worth a timer: the stage starts at once.
constexpr common::duration kMinDelay = std::chrono::milliseconds(5);

}  // namespace

bool forward_request::MayRestartStages() const {
  return stage_restarts_ < kMaxStageRestarts;
}

bool forward_request::CreateStagePlan() {
  const core::header_names& names = deps_.codec.headers();
  const std::string* header = exchange_->head().Find(names.piece_counts);
  std::vector<uint32_t>& pieces = piece_counts_;
  pieces.clear();
  bool valid = header != nullptr;
  if (valid) {
    for (const std::string_view text : SplitCommaList(*header)) {
      const std::optional<uint32_t> count = ParseNumber<uint32_t>(text);
      valid = valid && count.has_value();
      pieces.push_back(count.value_or(0));
    }
  }
  if (valid) plan_ = core::stage_plan::Create(route_->stages, pieces);
  if (plan_) {
    // Also for skipped stages: the plan reports them as started.
    stage_starts_.assign(route_->stages.size(), {deps_.clock.Now(), {}});
    return true;
  }
  Respond({400, "Bad Request", "missing or invalid piece counts of the stages"},
          common::duration(0));
  return false;
}

bool forward_request::AdmitStages() {
  if (RejectedByEvacuation()) return false;
  const common::time_point now = deps_.clock.Now();
  core::stage_admission_context context;
  context.path = deps_.latency_estimator.Estimate(*route_table_, route_->stages,
                                                  piece_counts_, rank_);
  context.time_after_stages =
      deps_.first_events.Expected(service_, prompt_tokens_);
  context.to_objective = objective_ - now;
  context.to_deadline = start_by_ - now;
  const core::stage_admission_decision decision =
      deps_.admission.Decide(context);
  late_ = decision.verdict != core::stage_admission_outcome::kInTime;
  if (!late_) return true;
  common::Metrics().Count("wisteria_requests_late_total");
  const bool refused =
      decision.verdict == core::stage_admission_outcome::kRefuse;
  common::LogEvent(
      refused ? log_event::kRefused : log_event::kAdmittedLate, request_id_,
      {{"route", route_->name},
       {"estimate_ms", common::ToMillis(context.path.in_time)},
       {"late_estimate_ms", common::ToMillis(context.path.late)},
       {"rest_ms", common::ToMillis(context.time_after_stages)},
       {"to_objective_ms", common::ToMillis(context.to_objective)},
       {"return_after_ms", common::ToMillis(decision.retry_after)}});
  if (!refused) return true;
  Respond({503, "Service Unavailable",
           "no capacity for its stages before the deadline"},
          decision.retry_after);
  return false;
}

void forward_request::AnnounceUpcomingStages() {
  for (uint32_t stage = 0; stage < route_->stages.size(); ++stage) {
    const core::stage_spec& spec = route_->stages[stage];
    if (piece_counts_[stage] == 0 || late_) continue;
    deps_.latency_estimator.AddLocalPieces(spec.service, piece_counts_[stage],
                                           rank_);
    if (spec.depends_on.empty() && StageDelay(stage) <= kMinDelay) continue;
    deps_.stages.Announce({request_id_, spec.service, stage,
                           piece_counts_[stage], rank_, objective_});
  }
}

void forward_request::StartReadyStages() {
  if (plan_->complete()) {
    inputs_ = plan_->FinalInputs();
    StartAttempt();
    return;
  }
  common::duration next_delay(0);
  for (const uint32_t stage : plan_->Ready()) {
    const common::duration delay = StageDelay(stage);
    if (delay <= kMinDelay) {
      SubmitStage(stage);
    } else if (next_delay.count() == 0 || delay < next_delay) {
      next_delay = delay;
    }
  }
  deps_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (next_delay.count() == 0) return;
  stage_timer_ = deps_.loop.Schedule(next_delay, [this] {
    stage_timer_ = 0;
    StartReadyStages();
  });
}

common::duration forward_request::StageDelay(uint32_t stage) const {
  const common::time_point now = deps_.clock.Now();
  std::vector<common::duration> remaining(route_->stages.size());
  for (uint32_t i = 0; i < remaining.size(); ++i) {
    const common::duration estimated =
        deps_.latency_estimator.EstimateCompletion(
            *route_table_, route_->stages[i].service, rank_);
    const common::duration elapsed =
        plan_->started(i) ? now - stage_starts_[i].at : common::duration(0);
    remaining[i] = std::max(estimated - elapsed, common::duration(0));
  }
  return core::StartDelay(*plan_, stage, remaining);
}

void forward_request::SubmitStage(uint32_t stage) {
  plan_->Start(stage);
  const std::string* key =
      exchange_->head().Find(deps_.codec.headers().piece_key);
  core::stage_job job;
  job.request_id = request_id_;
  job.service = route_->stages[stage].service;
  job.organisation = organisation_name();
  job.stage = stage;
  job.pieces = plan_->pieces(stage);
  job.inputs = plan_->InputsOf(stage);
  if (job.inputs.empty() && key != nullptr) job.key = *key;
  job.result_bytes = plan_->result_bytes(stage);
  job.priority = rank_;
  job.late = late_;
  job.digest = Digest();
  SetPreferredDataCentre(&job);
  const core::stage_time_limits limits = core::StageTimeLimits(
      *route_table_, route_->stages, stage, deps_.latency_estimator,
      {objective_, start_by_,
       deps_.first_events.Expected(service_, prompt_tokens_)});
  job.objective = limits.objective;
  job.deadline = limits.deadline;
  stage_starts_[stage] = {deps_.clock.Now(),
                          deps_.latency_estimator.EstimateCompletion(
                              *route_table_, job.service, rank_)};
  deps_.stages.Submit(job, [this](const core::stage_outcome_message& outcome) {
    OnStageOutcome(outcome);
  });
}

void forward_request::SetPreferredDataCentre(core::stage_job* job) {
  if (job->inputs.empty()) {
    job->data_centre = deps_.selector.LikelyDataCentre(SelectionContext());
    job->remote_input_bytes = job->result_bytes * job->pieces;
    return;
  }
  const core::data_centre_bytes largest = core::LargestDataCentre(
      ResultLocations(route_->stages[job->stage].depends_on));
  // Every piece reads all inputs.
  job->data_centre = largest.data_centre;
  job->remote_input_bytes = largest.bytes * job->pieces;
}

std::vector<core::data_centre_bytes> forward_request::ResultLocations(
    std::span<const uint32_t> stages) const {
  std::vector<core::data_centre_bytes> locations;
  for (const uint32_t stage : stages) {
    for (const std::string& handle : plan_->handles(stage)) {
      const std::shared_ptr<core::fleet_target> producer =
          deps_.targets.AtAddress(deps_.codec.ProducerAddress(handle));
      if (!producer) continue;
      locations.push_back(
          {producer->entry.data_centre, plan_->result_bytes(stage)});
    }
  }
  return locations;
}

void forward_request::OnStageOutcome(
    const core::stage_outcome_message& outcome) {
  if (outcome.completed) {
    plan_->Complete(outcome.stage, outcome.handles);
    if (!late_) {
      const stage_start& start = stage_starts_[outcome.stage];
      deps_.latency_estimator.RecordOutcome(
          route_->stages[outcome.stage].service, rank_, start.estimate,
          deps_.clock.Now() - start.at);
    }
    common::Metrics().Observe(
        "wisteria_stage_seconds",
        deps_.clock.Now() - stage_starts_[outcome.stage].at,
        {{"service", route_->stages[outcome.stage].service}});
    ReleaseUnneededResults();
    StartReadyStages();
    return;
  }
  common::LogEvent(
      log_event::kStageEnded, request_id_,
      {{"stage", int64_t{outcome.stage}},
       {"service", route_->stages[outcome.stage].service},
       {"made", false},
       {"late", outcome.late},
       {"estimate_ms", common::ToMillis(stage_starts_[outcome.stage].estimate)},
       {"took_ms", common::ToMillis(deps_.clock.Now() -
                                    stage_starts_[outcome.stage].at)}});
  if (RejectQuarantined()) return;
  if (!outcome.late && MayRestartStages()) {
    RestartStages();
    return;
  }
  RespondNotRun(outcome.late ? "its stages cannot be completed in time"
                             : "its stages failed");
}

void forward_request::RestartStages() {
  ++stage_restarts_;
  common::Metrics().Count("wisteria_stage_restarts_total",
                          {{"route", route_->name}});
  DiscardStages();
  if (CreateStagePlan()) StartReadyStages();
}

void forward_request::ReleaseUnneededResults() {
  for (const uint32_t stage : plan_->TakeReleasable()) {
    deps_.stages.Release(route_->stages[stage].service, plan_->handles(stage));
  }
}

void forward_request::DiscardStages() {
  if (!plan_) return;
  deps_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (!plan_->complete()) deps_.stages.Cancel(request_id_);
  for (const uint32_t stage : plan_->TakeUnreleased()) {
    deps_.stages.Release(route_->stages[stage].service, plan_->handles(stage));
  }
  plan_.reset();
}

}  // namespace wisteriadale::gateway
