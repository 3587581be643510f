#include "gateway/stage_router.h"

#include <utility>

#include "common/event_log.h"

namespace wisteriadale::gateway {
namespace {

common::milliseconds MillisUntil(common::time_point until,
                                 common::time_point now) {
  return std::chrono::duration_cast<common::milliseconds>(until - now);
}

core::stage_job_message ToMessage(const core::stage_job& job,
                                  common::time_point now) {
  core::stage_job_message message;
  message.request_id = job.request_id;
  message.service = job.service;
  message.organisation = job.organisation;
  message.stage = job.stage;
  message.pieces = job.pieces;
  message.key = job.key;
  message.inputs = job.inputs;
  message.result_bytes = job.result_bytes;
  message.priority = job.priority;
  message.data_centre = job.data_centre;
  message.late = job.late;
  message.remote_input_bytes = job.remote_input_bytes;
  message.to_objective = MillisUntil(job.objective, now);
  message.to_deadline = MillisUntil(job.deadline, now);
  return message;
}

core::stage_job FromMessage(const std::string& gateway,
                            const core::stage_job_message& message,
                            common::time_point now) {
  core::stage_job job;
  job.origin = gateway;
  job.request_id = message.request_id;
  job.service = message.service;
  job.organisation = message.organisation;
  job.stage = message.stage;
  job.pieces = message.pieces;
  job.key = message.key;
  job.inputs = message.inputs;
  job.result_bytes = message.result_bytes;
  job.priority = message.priority;
  job.data_centre = message.data_centre;
  job.late = message.late;
  job.remote_input_bytes = message.remote_input_bytes;
  job.objective = now + message.to_objective;
  job.deadline = now + message.to_deadline;
  return job;
}

}  // namespace

stage_router::stage_router(std::string name, gateway_links& links,
                           common::clock& clock, common::timer_service& timers)
    : name_(std::move(name)), links_(links), clock_(clock), timers_(timers) {}

std::string stage_router::OwnerOf(std::string_view service) const {
  return core::ChooseQueueOwner(links_.OwnerCandidates(), service);
}

void stage_router::Submit(const core::stage_job& job,
                          outcome_handler on_outcome) {
  const std::pair<std::string, uint32_t> key(job.request_id, job.stage);
  pending_job& pending = pending_[key];
  pending = {job, "", std::move(on_outcome)};
  pending.job.origin = name_;
  Send(&pending);
}

void stage_router::Announce(const core::upcoming_stage& upcoming) {
  const std::string owner = OwnerOf(upcoming.service);
  if (owner == name_) {
    dispatcher_->Announce(upcoming);
    return;
  }
  links_.Send(owner, core::upcoming_stage_message{
                         upcoming.request_id, upcoming.service, upcoming.stage,
                         upcoming.pieces, upcoming.priority,
                         MillisUntil(upcoming.expires, clock_.Now())});
}

void stage_router::OnUpcomingStage(
    const core::upcoming_stage_message& message) {
  dispatcher_->Announce({message.request_id, message.service, message.stage,
                         message.pieces, message.priority,
                         clock_.Now() + message.to_expiry});
}

void stage_router::Send(pending_job* pending) {
  const core::stage_job& job = pending->job;
  pending->owner = OwnerOf(job.service);
  if (pending->owner != name_ &&
      links_.Send(pending->owner, ToMessage(job, clock_.Now()))) {
    return;
  }
  pending->owner = name_;
  dispatcher_->Enqueue(job);
}

void stage_router::Cancel(const std::string& request_id) {
  std::vector<std::string> owners;
  auto entry = pending_.lower_bound({request_id, 0});
  while (entry != pending_.end() && entry->first.first == request_id) {
    owners.push_back(entry->second.owner);
    entry = pending_.erase(entry);
  }
  for (const std::string& owner : owners) {
    if (owner == name_) {
      dispatcher_->Cancel(request_id);
    } else {
      links_.Send(owner, core::stage_cancellation_message{request_id});
    }
  }
}

void stage_router::Release(const std::string& service,
                           const std::vector<std::string>& handles) {
  if (handles.empty()) return;
  const std::string owner = OwnerOf(service);
  if (owner != name_ &&
      links_.Send(owner, core::stage_release_message{service, handles})) {
    return;
  }
  dispatcher_->Release(service, handles);
}

void stage_router::OnJob(const std::string& gateway,
                         const core::stage_job_message& message) {
  dispatcher_->Enqueue(FromMessage(gateway, message, clock_.Now()));
}

void stage_router::OnOutcome(const core::stage_outcome_message& message) {
  const auto found = pending_.find({message.request_id, message.stage});
  if (found == pending_.end()) return;
  const outcome_handler handler = std::move(found->second.on_outcome);
  pending_.erase(found);
  handler(message);
}

void stage_router::OnCancellation(
    const core::stage_cancellation_message& message) {
  dispatcher_->Cancel(message.request_id);
}

void stage_router::OnRelease(const core::stage_release_message& message) {
  dispatcher_->Release(message.service, message.handles);
}

void stage_router::OnGatewayLost(const std::string& gateway) {
  dispatcher_->CancelAllFrom(gateway);
  for (auto& [key, pending] : pending_) {
    if (pending.owner != gateway) continue;
    common::LogEvent(common::log_event::kOwnerChanged, key.first,
                     {{"service", pending.job.service},
                      {"stage", int64_t{key.second}},
                      {"lost_owner", gateway}});
    Send(&pending);
  }
}

void stage_router::ReportOutcome(const core::stage_job_outcome& outcome) {
  const std::string& gateway = outcome.origin;
  core::stage_outcome_message message;
  message.request_id = outcome.request_id;
  message.stage = outcome.stage;
  message.completed = outcome.completed;
  message.late = outcome.failure == core::piece_outcome::kExpired;
  if (outcome.completed) message.handles = outcome.handles;
  if (gateway == name_) {
    // Deferred, since a job may end while it is being submitted.
    timers_.Schedule(common::duration(0),
                     [this, message] { OnOutcome(message); });
  } else if (!links_.Send(gateway, message)) {
    common::LogEvent(common::log_event::kStageEnded, outcome.request_id,
                     {{"stage", int64_t{outcome.stage}},
                      {"made", outcome.completed},
                      {"unreachable", gateway}});
  }
}

}  // namespace wisteriadale::gateway
