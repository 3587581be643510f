// What a gateway tells the others, and hears from them.

#include "common/event_log.h"
#include "common/metrics.h"
#include "gateway/gateway_process.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Departures of targets that a gateway is told when it joins.
constexpr size_t kMaxToldDepartures = 256;

}  // namespace

/// Passes a message of another gateway to the component that handles it.
struct gateway_process::message_visitor {
  gateway_process* process;
  const std::string& gateway;

  void operator()(const core::stage_job_message& job) const {
    process->stage_router_->OnJob(gateway, job);
  }
  void operator()(const core::stage_outcome_message& outcome) const {
    process->stage_router_->OnOutcome(outcome);
  }
  void operator()(const core::stage_cancellation_message& cancellation) const {
    process->stage_router_->OnCancellation(cancellation);
  }
  void operator()(const core::stage_release_message& release) const {
    process->stage_router_->OnRelease(release);
  }
  void operator()(const core::upcoming_stage_message& upcoming) const {
    process->stage_router_->OnUpcomingStage(upcoming);
  }
  void operator()(const core::service_load_message& load) const {
    process->latency_estimator_->UpdateLoad(load.service, load.load);
  }
  void operator()(const core::routes_message& routes) const {
    process->OnRoutesMessage(gateway, routes);
  }
  void operator()(const core::leaving_targets_message& leaving) const {
    process->fleet_sync_->ApplyLeavingTargets(leaving.draining, leaving.gone);
  }
  void operator()(const core::store_read_message& read) const {
    process->OnStoreReadMessage(gateway, read);
  }
  void operator()(const core::crash_report& report) const {
    process->crash_links_->OnReport(report);
  }
  void operator()(const core::routes_request& request) const {
    process->OnRoutesRequest(gateway, request);
  }
  void operator()(const core::limit_report& report) const {
    process->limits_->Merge(report, gateway);
  }
  void operator()(const core::slot_request& request) const {
    process->slots_->OnRequest(gateway, request);
  }
  void operator()(const core::slot_reply& reply) const {
    process->slots_->OnReply(gateway, reply);
  }
  void operator()(const core::evacuations_message& message) const {
    process->evacuation_links_->OnMessage(gateway, message);
  }
  void operator()(const core::unknown_gateway_message&) const {
    common::Metrics().Count("wisteria_messages_unknown_total");
  }
  // Handled by gateway_links.
  void operator()(const core::gateway_hello&) const {}
  void operator()(const core::gateway_ping&) const {}
  void operator()(const core::gateway_shutdown_notice&) const {}
  void operator()(const core::gateway_slow_state&) const {}
  void operator()(const core::gateway_view&) const {}
};

void gateway_process::OnMessage(const std::string& gateway,
                                const core::gateway_message& message) {
  std::visit(message_visitor{this, gateway}, message);
}

void gateway_process::OnGatewayJoined(const std::string& gateway) {
  retry_budget_->SetGateways(links_->RecentGatewayCount());
  // Before the routes, with which a gateway may begin to serve.
  evacuation_links_->OnGatewayJoined(gateway);
  crash_links_->OnGatewayJoined(gateway);
  if (routes_.current()) {
    links_->Send(gateway, core::routes_message{routes_.edition(), ""});
  }
  // It may read entries of these in a store that was restored from a copy.
  const core::departed_targets departed =
      targets_.RecentDepartures(kMaxToldDepartures);
  if (!departed.leaving.empty() || !departed.gone.empty()) {
    links_->Send(gateway, core::leaving_targets_message{departed.leaving,
                                                        departed.gone});
  }
  for (const core::limit_report& report : limits_->Reports()) {
    links_->Send(gateway, report);
  }
}

bool gateway_process::ReadsForDataCentre() {
  const std::string previous = store_reader_->reader();
  const bool can_read = !fleet_sync_->store_failing();
  if (store_reader_->Update(links_->DataCentreCandidates(), can_read)) {
    common::LogEvent(
        log_event::kStoreReaderChosen, "",
        {{"gateway", store_reader_->reader()},
         {"previous", previous},
         {"data_centre", data_centre_},
         {"can_read", can_read},
         {"targets_age_ms", common::ToMillis(fleet_sync_->TargetsAge())}});
  }
  return store_reader_->is_reader();
}

void gateway_process::OnStoreRead(const core::store_read& read,
                                  common::time_point read_at) {
  if (!ReadsForDataCentre()) return;
  links_->BroadcastToDataCentre(
      core::store_read_message{read, read_at.time_since_epoch()});
}

void gateway_process::OnStoreReadMessage(
    const std::string& gateway, const core::store_read_message& message) {
  const common::time_point read_at = statement_clock_.WhenStated(
      gateway, common::time_point(message.read_at), clock_.Now());
  store_reader_->OnRead(gateway);
  // The reader reads for itself, whatever another gateway takes itself for.
  if (ReadsForDataCentre()) return;
  fleet_sync_->ApplyRelayedRead(message.read, read_at);
}

void gateway_process::OnRoutesChanged() {
  const core::caller_limits& limits = routes_.current()->limits();
  net::http1_server_limits server_limits;
  server_limits.message.max_head_bytes = limits.max_header_bytes;
  server_limits.message.max_body_bytes = limits.max_body_bytes;
  server_limits.header_timeout = limits.header_timeout;
  server_limits.idle_timeout = limits.idle_timeout;
  caller_server_->SetLimits(server_limits);
  cold_targets_->OnRoutesChanged();
  links_->Broadcast(core::routes_message{routes_.edition(), ""});
}

void gateway_process::OnRoutesMessage(const std::string& gateway,
                                      const core::routes_message& message) {
  if (message.document.empty()) {
    fleet_sync_->OnRoutesAnnounced(message.edition);
    routes_exchange_->OnAnnounced(
        {gateway, links_->CapacityOf(gateway), message.edition},
        fleet_sync_->store_failing());
    return;
  }
  // Decoding takes long; the store may have been faster.
  if (!(routes_.edition() < message.edition)) return;
  fleet_sync_->ApplyRoutes(message.document, gateway, message.edition.era);
  if (routes_.edition() < message.edition) {
    routes_exchange_->OnRefused(message.edition);
  }
}

void gateway_process::OnRoutesRequest(const std::string& gateway,
                                      const core::routes_request& request) {
  if (!routes_.current() || routes_.edition() < request.edition) return;
  links_->Send(gateway, core::routes_message{routes_.edition(),
                                             fleet_sync_->routes_text()});
  common::LogEvent(
      log_event::kRoutesPassed, "",
      {{"version", static_cast<int64_t>(routes_.current()->version())},
       {"to", gateway},
       {"bytes", static_cast<int64_t>(fleet_sync_->routes_text().size())},
       {"link_bytes_pending", static_cast<int64_t>(links_->PendingBytes())}});
}

void gateway_process::OnTargetLeaving(const core::fleet_target& target,
                                      core::leaving_reason why) {
  selector_->hints().Forget(target.entry.id);
  crash_links_->watch().OnTargetLeaving(target);
  // An entry that only lapsed may return.
  if (why != core::leaving_reason::kGone) {
    limits_->Forget(target.entry.id, target.entry.started_ms);
  }
  common::LogEvent(log_event::kTargetLeaving, "",
                   {{"target", target.entry.id},
                    {"service", target.entry.service},
                    {"why", core::ToString(why)},
                    {"in_flight", int64_t{target.in_flight}}});
  if (fleet_sync_->applying_relayed_read()) return;
  const core::target_start start = {target.entry.id, target.entry.started_ms};
  if (why == core::leaving_reason::kDraining ||
      why == core::leaving_reason::kStated) {
    links_->Broadcast(core::leaving_targets_message{{start}, {}});
  } else if (why == core::leaving_reason::kGone &&
             !fleet_sync_->store_failing()) {
    links_->Broadcast(core::leaving_targets_message{{}, {start}});
  }
}

}  // namespace wisteriadale::gateway
