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

constexpr uint32_t kMostStageRestarts = 1;
// Time that an engine needs before its first event, for the stages' split of
// the objective.
constexpr common::duration kEngineTime = std::chrono::milliseconds(60);
constexpr common::duration kPromptTokenTime{9};
// Results from this size on are made as late as the other stages allow: room
// for them is short. They are begun this much earlier than the estimate says.
constexpr uint64_t kLargeResults = 500000;
constexpr common::duration kDelayMargin = std::chrono::milliseconds(40);
constexpr common::duration kShortestDelay = std::chrono::milliseconds(5);

}  // namespace

bool forward_request::MayRestartStages() const {
  return stage_restarts_ < kMostStageRestarts;
}

bool forward_request::MakePlan() {
  const core::header_names& names = context_.codec.headers();
  const std::string* counts = exchange_->head().Find(names.piece_counts);
  std::vector<uint32_t>& pieces = piece_counts_;
  pieces.clear();
  bool valid = counts != nullptr;
  if (valid) {
    for (const std::string_view text : SplitList(*counts)) {
      const std::optional<uint32_t> count = NumberFrom<uint32_t>(text);
      valid = valid && count.has_value();
      pieces.push_back(count.value_or(0));
    }
  }
  if (valid) plan_ = core::stage_plan::Create(route_->stages, pieces);
  if (plan_) return true;
  Answer({400, "Bad Request", "the pieces of the stages are not given"},
         common::duration(0));
  return false;
}

common::duration forward_request::EngineTime() const {
  return kEngineTime + kPromptTokenTime * prompt_tokens_;
}

bool forward_request::AdmitStages() {
  const common::time_point now = context_.clock.Now();
  core::stage_question question;
  question.path = context_.estimate.Estimate(*table_, route_->stages,
                                             piece_counts_, priority_);
  question.rest = EngineTime();
  question.to_objective = objective_ - now;
  question.to_deadline = begin_by_ - now;
  const core::stage_answer answer = context_.admission.Decide(question);
  late_ = answer.verdict != core::stage_verdict::kInTime;
  if (answer.verdict != core::stage_verdict::kRefuse) return true;
  common::LogEvent(
      log_event::kRefused, request_id_,
      {{"route", route_->name},
       {"estimate_ms", common::WholeMillis(question.path.in_time)},
       {"late_estimate_ms", common::WholeMillis(question.path.late)},
       {"return_after_ms", common::WholeMillis(answer.return_after)}});
  Answer({503, "Service Unavailable", "its stages have no room in time"},
         answer.return_after);
  return false;
}

void forward_request::AnnounceStages() {
  for (uint32_t stage = 0; stage < route_->stages.size(); ++stage) {
    const core::stage_spec& spec = route_->stages[stage];
    if (piece_counts_[stage] == 0 || late_) continue;
    context_.estimate.AddOwn(spec.service, piece_counts_[stage], priority_);
    if (spec.after.empty() && DelayOf(stage) <= kShortestDelay) continue;
    context_.stages.Announce({request_id_, spec.service, stage,
                              piece_counts_[stage], priority_, objective_});
  }
}

void forward_request::RunStages() {
  if (plan_->complete()) {
    inputs_ = plan_->FinalInputs();
    SendToTarget();
    return;
  }
  begun_.resize(route_->stages.size());
  common::duration shortest(0);
  for (const uint32_t stage : plan_->Ready()) {
    const common::duration delay = DelayOf(stage);
    if (delay <= kShortestDelay) {
      SubmitStage(stage);
    } else if (shortest.count() == 0 || delay < shortest) {
      shortest = delay;
    }
  }
  context_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (shortest.count() == 0) return;
  stage_timer_ = context_.loop.Schedule(shortest, [this] {
    stage_timer_ = 0;
    RunStages();
  });
}

common::duration forward_request::DelayOf(uint32_t stage) const {
  const uint64_t bytes = plan_->result_bytes(stage) * plan_->pieces(stage);
  if (plan_->followed(stage) || bytes < kLargeResults) {
    return common::duration(0);
  }
  const common::time_point now = context_.clock.Now();
  std::vector<common::duration> left(route_->stages.size());
  for (uint32_t i = 0; i < left.size(); ++i) {
    const common::duration whole = context_.estimate.StageEnd(
        *table_, route_->stages[i].service, priority_);
    const common::duration passed =
        plan_->begun(i) ? now - begun_[i].at : common::duration(0);
    left[i] = std::max(whole - passed, common::duration(0));
  }
  return plan_->TimeOfOthers(stage, left) - left[stage] - kDelayMargin;
}

void forward_request::SubmitStage(uint32_t stage) {
  plan_->Begin(stage);
  const std::string* key =
      exchange_->head().Find(context_.codec.headers().piece_key);
  core::stage_order order;
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
  SetTimes(&order);
  begun_[stage] = {
      context_.clock.Now(),
      context_.estimate.StageEnd(*table_, order.service, priority_)};
  context_.stages.Submit(
      order, [this](const core::stage_end_message& end) { OnStageEnd(end); });
}

void forward_request::SetTimes(core::stage_order* order) const {
  common::duration least(0);
  common::duration usual(0);
  for (uint32_t later = order->stage + 1; later < route_->stages.size();
       ++later) {
    const core::service_spec* spec =
        table_->FindService(route_->stages[later].service);
    const std::vector<uint32_t>& after = route_->stages[later].after;
    if (spec == nullptr || !spec->batches || after.empty()) continue;
    least += spec->batches->call_time + spec->batches->piece_time;
    usual +=
        context_.estimate.StageTime(*table_, route_->stages[later].service);
  }
  order->objective = objective_ - usual - EngineTime();
  order->deadline = begin_by_ - least - EngineTime();
}

void forward_request::SetPlace(core::stage_order* order) {
  if (order->inputs.empty()) {
    order->data_centre = context_.choice.LikelyDataCentre(Question());
    order->place_bytes = order->result_bytes * order->pieces;
    return;
  }
  // Each piece takes all inputs: it is best made where most of them are.
  std::unordered_map<std::string, uint64_t> bytes;
  for (const uint32_t before : route_->stages[order->stage].after) {
    for (const std::string& handle : plan_->handles(before)) {
      const std::shared_ptr<core::fleet_target> maker =
          context_.targets.AtAddress(handle.substr(0, handle.find('/')));
      if (!maker) continue;
      uint64_t& here = bytes[maker->entry.data_centre];
      here += plan_->result_bytes(before) * order->pieces;
      if (here <= order->place_bytes) continue;
      order->place_bytes = here;
      order->data_centre = maker->entry.data_centre;
    }
  }
}

void forward_request::OnStageEnd(const core::stage_end_message& end) {
  if (end.made) {
    plan_->Complete(end.stage, end.handles);
    if (!late_) {
      const begun_stage& begun = begun_[end.stage];
      context_.estimate.NoteOutcome(route_->stages[end.stage].service,
                                    priority_, begun.estimate,
                                    context_.clock.Now() - begun.at);
    }
    common::Metrics().Observe("wisteria_stage_seconds",
                              context_.clock.Now() - begun_[end.stage].at,
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
       {"took_ms",
        common::WholeMillis(context_.clock.Now() - begun_[end.stage].at)}});
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
  for (const uint32_t stage : plan_->TakeSpent()) {
    context_.stages.Release(route_->stages[stage].service,
                            plan_->handles(stage));
  }
}

void forward_request::ReleaseInputs() {
  if (!plan_) return;
  context_.loop.Cancel(stage_timer_);
  stage_timer_ = 0;
  if (!plan_->complete()) context_.stages.Withdraw(request_id_);
  for (const uint32_t stage : plan_->TakeHeld()) {
    context_.stages.Release(route_->stages[stage].service,
                            plan_->handles(stage));
  }
  plan_.reset();
}

}  // namespace wisteriadale::gateway
