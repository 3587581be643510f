// The stages that a request needs before it can run.

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"
#include "gateway/forward_headers.h"
#include "gateway/forward_request.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Inputs may lapse or go with their makers once; then time is short.
constexpr uint32_t kMostStageRestarts = 1;
// A shorter delay is not worth a timer.
constexpr common::duration kShortestDelay = std::chrono::milliseconds(5);

}  // namespace

bool forward_request::MayRestartStages() const {
  return stage_restarts_ < kMostStageRestarts;
}

bool forward_request::MakePlan() {
  const core::header_names& names = dependencies_.codec.headers();
  const std::string* counts = exchange_->head().Find(names.piece_counts);
  std::vector<uint32_t>& pieces = piece_counts_;
  pieces.clear();
  bool valid = counts != nullptr;
  if (valid) {
    for (const std::string_view text : SplitCommaList(*counts)) {
      const std::optional<uint32_t> count = ParseNumber<uint32_t>(text);
      valid = valid && count.has_value();
      pieces.push_back(count.value_or(0));
    }
  }
  if (valid) plan_ = core::stage_plan::Create(route_->stages, pieces);
  if (plan_) {
    // Of a stage that is left out, too: its plan says that it has begun.
    begun_.assign(route_->stages.size(), {dependencies_.clock.Now(), {}});
    return true;
  }
  Answer({400, "Bad Request", "the pieces of the stages are not given"},
         common::duration(0));
  return false;
}

bool forward_request::AdmitStages() {
  const common::time_point now = dependencies_.clock.Now();
  core::stage_admission_context question;
  question.path = dependencies_.latency_estimator.Estimate(
      *table_, route_->stages, piece_counts_, priority_);
  question.time_after_stages = core::EstimateTimeToFirstEvent(prompt_tokens_);
  question.to_objective = objective_ - now;
  question.to_deadline = begin_by_ - now;
  const core::stage_admission_decision answer =
      dependencies_.admission.Decide(question);
  late_ = answer.verdict != core::stage_admission_outcome::kInTime;
  if (!late_) return true;
  common::Metrics().Count("wisteria_requests_late_total");
  const bool refused = answer.verdict == core::stage_admission_outcome::kRefuse;
  common::LogEvent(
      refused ? log_event::kRefused : log_event::kAdmittedLate, request_id_,
      {{"route", route_->name},
       {"estimate_ms", common::WholeMillis(question.path.in_time)},
       {"late_estimate_ms", common::WholeMillis(question.path.late)},
       {"rest_ms", common::WholeMillis(question.time_after_stages)},
       {"to_objective_ms", common::WholeMillis(question.to_objective)},
       {"return_after_ms", common::WholeMillis(answer.retry_after)}});
  if (!refused) return true;
  Answer({503, "Service Unavailable", "its stages have no room in time"},
         answer.retry_after);
  return false;
}

void forward_request::AnnounceStages() {
  for (uint32_t stage = 0; stage < route_->stages.size(); ++stage) {
    const core::stage_spec& spec = route_->stages[stage];
    if (piece_counts_[stage] == 0 || late_) continue;
    dependencies_.latency_estimator.AddLocalPieces(
        spec.service, piece_counts_[stage], priority_);
    if (spec.depends_on.empty() && DelayOf(stage) <= kShortestDelay) continue;
    dependencies_.stages.Announce({request_id_, spec.service, stage,
                                   piece_counts_[stage], priority_,
                                   objective_});
  }
}

void forward_request::RunStages() {
  if (plan_->complete()) {
    inputs_ = plan_->FinalInputs();
    SendToTarget();
    return;
  }
  common::duration shortest(0);
  for (const uint32_t stage : plan_->Ready()) {
    const common::duration delay = DelayOf(stage);
    if (delay <= kShortestDelay) {
      SubmitStage(stage);
    } else if (shortest.count() == 0 || delay < shortest) {
      shortest = delay;
    }
  }
  dependencies_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (shortest.count() == 0) return;
  stage_timer_ = dependencies_.loop.Schedule(shortest, [this] {
    stage_timer_ = 0;
    RunStages();
  });
}

common::duration forward_request::DelayOf(uint32_t stage) const {
  const common::time_point now = dependencies_.clock.Now();
  std::vector<common::duration> left(route_->stages.size());
  for (uint32_t i = 0; i < left.size(); ++i) {
    const common::duration whole =
        dependencies_.latency_estimator.EstimateCompletion(
            *table_, route_->stages[i].service, priority_);
    const common::duration passed =
        plan_->started(i) ? now - begun_[i].at : common::duration(0);
    left[i] = std::max(whole - passed, common::duration(0));
  }
  return core::StartDelay(*plan_, stage, left);
}

void forward_request::SubmitStage(uint32_t stage) {
  plan_->Start(stage);
  const std::string* key =
      exchange_->head().Find(dependencies_.codec.headers().piece_key);
  core::stage_job order;
  order.request_id = request_id_;
  order.service = route_->stages[stage].service;
  order.organisation = organisation_name();
  order.stage = stage;
  order.pieces = plan_->pieces(stage);
  order.inputs = plan_->InputsOf(stage);
  if (order.inputs.empty() && key != nullptr) order.key = *key;
  order.result_bytes = plan_->result_bytes(stage);
  order.priority = priority_;
  order.late = late_;
  SetPlace(&order);
  const core::stage_time_limits times = core::StageTimeLimits(
      *table_, route_->stages, stage, dependencies_.latency_estimator,
      {objective_, begin_by_, core::EstimateTimeToFirstEvent(prompt_tokens_)});
  order.objective = times.objective;
  order.deadline = times.deadline;
  begun_[stage] = {dependencies_.clock.Now(),
                   dependencies_.latency_estimator.EstimateCompletion(
                       *table_, order.service, priority_)};
  dependencies_.stages.Submit(
      order,
      [this](const core::stage_outcome_message& end) { OnStageEnd(end); });
}

void forward_request::SetPlace(core::stage_job* order) {
  if (order->inputs.empty()) {
    order->data_centre = dependencies_.choice.LikelyDataCentre(Question());
    order->remote_input_bytes = order->result_bytes * order->pieces;
    return;
  }
  const core::data_centre_bytes best = core::LargestDataCentre(
      PlacesOf(route_->stages[order->stage].depends_on));
  // Each piece takes all inputs.
  order->data_centre = best.data_centre;
  order->remote_input_bytes = best.bytes * order->pieces;
}

std::vector<core::data_centre_bytes> forward_request::PlacesOf(
    std::span<const uint32_t> stages) const {
  std::vector<core::data_centre_bytes> places;
  for (const uint32_t stage : stages) {
    for (const std::string& handle : plan_->handles(stage)) {
      const std::shared_ptr<core::fleet_target> maker =
          dependencies_.targets.AtAddress(
              dependencies_.codec.ProducerAddress(handle));
      if (!maker) continue;
      places.push_back({maker->entry.data_centre, plan_->result_bytes(stage)});
    }
  }
  return places;
}

void forward_request::OnStageEnd(const core::stage_outcome_message& end) {
  if (end.made) {
    plan_->Complete(end.stage, end.handles);
    if (!late_) {
      const begun_stage& begun = begun_[end.stage];
      dependencies_.latency_estimator.RecordOutcome(
          route_->stages[end.stage].service, priority_, begun.estimate,
          dependencies_.clock.Now() - begun.at);
    }
    common::Metrics().Observe("wisteria_stage_seconds",
                              dependencies_.clock.Now() - begun_[end.stage].at,
                              {{"service", route_->stages[end.stage].service}});
    ReleaseSpent();
    RunStages();
    return;
  }
  common::LogEvent(
      log_event::kStageEnded, request_id_,
      {{"stage", int64_t{end.stage}},
       {"service", route_->stages[end.stage].service},
       {"made", false},
       {"late", end.late},
       {"estimate_ms", common::WholeMillis(begun_[end.stage].estimate)},
       {"took_ms", common::WholeMillis(dependencies_.clock.Now() -
                                       begun_[end.stage].at)}});
  if (!end.late && MayRestartStages()) {
    RestartStages();
    return;
  }
  AnswerNotRun(end.late ? "its stages cannot be made in time"
                        : "its stages were not made");
}

void forward_request::RestartStages() {
  ++stage_restarts_;
  common::Metrics().Count("wisteria_stage_restarts_total",
                          {{"route", route_->name}});
  ReleaseInputs();
  if (MakePlan()) RunStages();
}

void forward_request::ReleaseSpent() {
  for (const uint32_t stage : plan_->TakeReleasable()) {
    dependencies_.stages.Release(route_->stages[stage].service,
                                 plan_->handles(stage));
  }
}

void forward_request::ReleaseInputs() {
  if (!plan_) return;
  dependencies_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (!plan_->complete()) dependencies_.stages.Cancel(request_id_);
  for (const uint32_t stage : plan_->TakeUnreleased()) {
    dependencies_.stages.Release(route_->stages[stage].service,
                                 plan_->handles(stage));
  }
  plan_.reset();
}

}  // namespace wisteriadale::gateway
