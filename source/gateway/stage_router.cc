#include "gateway/stage_router.h"

#include <utility>

#include "common/event_log.h"

namespace wisteriadale::gateway {
namespace {

common::milliseconds MillisUntil(common::time_point until,
                                 common::time_point now) {
  return std::chrono::duration_cast<common::milliseconds>(until - now);
}

core::stage_job_message MessageOf(const core::stage_job& order,
                                  common::time_point now) {
  core::stage_job_message message;
  message.request_id = order.request_id;
  message.service = order.service;
  message.organisation = order.organisation;
  message.stage = order.stage;
  message.pieces = order.pieces;
  message.key = order.key;
  message.inputs = order.inputs;
  message.result_bytes = order.result_bytes;
  message.priority = order.priority;
  message.data_centre = order.data_centre;
  message.late = order.late;
  message.remote_input_bytes = order.remote_input_bytes;
  message.to_objective = MillisUntil(order.objective, now);
  message.to_deadline = MillisUntil(order.deadline, now);
  return message;
}

core::stage_job OrderOf(const core::stage_job_message& message,
                        common::time_point now) {
  core::stage_job order;
  order.request_id = message.request_id;
  order.service = message.service;
  order.organisation = message.organisation;
  order.stage = message.stage;
  order.pieces = message.pieces;
  order.key = message.key;
  order.inputs = message.inputs;
  order.result_bytes = message.result_bytes;
  order.priority = message.priority;
  order.data_centre = message.data_centre;
  order.late = message.late;
  order.remote_input_bytes = message.remote_input_bytes;
  order.objective = now + message.to_objective;
  order.deadline = now + message.to_deadline;
  return order;
}

}  // namespace

stage_router::stage_router(std::string name, gateway_links& links,
                           common::clock& clock, common::timer_service& timers)
    : name_(std::move(name)), links_(links), clock_(clock), timers_(timers) {}

std::string stage_router::OwnerOf(std::string_view service) const {
  return core::ChooseQueueOwner(links_.OwnerCandidates(), service);
}

void stage_router::Submit(const core::stage_job& order,
                          outcome_handler on_outcome) {
  const std::pair<std::string, uint32_t> key(order.request_id, order.stage);
  pending_order& pending = pending_[key];
  pending = {order, "", std::move(on_outcome)};
  Send(&pending);
}

void stage_router::Announce(const core::upcoming_stage& notice) {
  const std::string owner = OwnerOf(notice.service);
  if (owner == name_) {
    dispatcher_->Announce(notice);
    return;
  }
  links_.Send(
      owner, core::upcoming_stage_message{
                 notice.request_id, notice.service, notice.stage, notice.pieces,
                 notice.priority, MillisUntil(notice.expires, clock_.Now())});
}

void stage_router::OnUpcomingStage(
    const core::upcoming_stage_message& message) {
  dispatcher_->Announce({message.request_id, message.service, message.stage,
                         message.pieces, message.priority,
                         clock_.Now() + message.to_expiry});
}

void stage_router::Send(pending_order* pending) {
  const core::stage_job& order = pending->order;
  pending->owner = OwnerOf(order.service);
  if (pending->owner != name_ &&
      links_.Send(pending->owner, MessageOf(order, clock_.Now()))) {
    return;
  }
  pending->owner = name_;
  dispatcher_->Enqueue(name_, order);
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
  dispatcher_->Enqueue(gateway, OrderOf(message, clock_.Now()));
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
                     {{"service", pending.order.service},
                      {"stage", int64_t{key.second}},
                      {"lost_owner", gateway}});
    Send(&pending);
  }
}

void stage_router::ReportOutcome(const std::string& gateway,
                                 const core::stage_job_outcome& end) {
  core::stage_outcome_message message;
  message.request_id = end.request_id;
  message.stage = end.stage;
  message.made = end.made;
  message.late = end.failure == core::piece_outcome::kExpired;
  if (end.made) message.handles = end.handles;
  if (gateway == name_) {
    // An order may end while it is being submitted.
    timers_.Schedule(common::duration(0),
                     [this, message] { OnOutcome(message); });
  } else if (!links_.Send(gateway, message)) {
    common::LogEvent(common::log_event::kStageEnded, end.request_id,
                     {{"stage", int64_t{end.stage}},
                      {"made", end.made},
                      {"unreachable", gateway}});
  }
}

}  // namespace wisteriadale::gateway
