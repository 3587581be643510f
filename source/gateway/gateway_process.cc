#include "gateway/gateway_process.h"

#include <nlohmann/json.hpp>

#include "common/event_log.h"
#include "common/last_reason.h"
#include "common/metrics.h"
#include "platform/http_row_store.h"
#include "platform/platform_codec.h"
#include "settings/common_settings.h"
#include "settings/gateway_settings.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Time between readings of the other gateways' addresses.
constexpr common::duration kGatewaysPeriod = std::chrono::seconds(5);
constexpr common::duration kFirstGatewaysDelay = std::chrono::milliseconds(300);
// New connections still come until the balancer has seen twice, a second
// apart, that the process is not ready. Later ones are refused: what they ask
// for might not end within the grace.
constexpr common::duration kTurnAwayAfter = std::chrono::milliseconds(2200);
constexpr common::duration kLeastStop = std::chrono::milliseconds(2400);
// What is kept of the grace for the end itself.
constexpr common::duration kStopMargin = std::chrono::milliseconds(500);
// Mbit/s that a core of a busy owner of queues sends and takes.
constexpr double kMbpsPerCore = 400;
constexpr common::duration kStopCheck = std::chrono::milliseconds(100);
constexpr common::duration kFlushDelay = std::chrono::milliseconds(50);

std::optional<net::endpoint> EndpointOf(
    const settings::settings_document& settings,
    const settings::setting& which) {
  std::optional<net::endpoint> read = net::EndpointFrom(settings.Text(which));
  if (!read) {
    common::SetLastReason(
        common::result_code::kBadSettings,
        std::string(which.pointer) + ": " + common::LastReason().text);
  }
  return read;
}

}  // namespace

std::optional<std::unique_ptr<gateway_process>> gateway_process::Create(
    const settings::settings_document& settings) {
  std::unique_ptr<gateway_process> process(new gateway_process());
  const uint64_t seed =
      static_cast<uint64_t>(settings.Integer(settings::kRandomSeed));
  process->random_ = std::make_unique<common::seeded_random>(
      seed == 0 ? common::SystemSeed() : seed);
  net::event_loop::options options;
  options.max_connections =
      static_cast<int>(settings.Integer(settings::kMaxConnections));
  options.dial_timeout =
      common::milliseconds(settings.Integer(settings::kDialTimeoutMs));
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create(options);
  if (!loop) return std::nullopt;
  process->loop_ = std::move(*loop);
  process->name_ = settings.Text(settings::kName);
  process->stop_limit_ =
      common::FromSeconds(settings.Number(settings::kStopGraceS)) - kStopMargin;
  if (!process->MakeFleet(settings)) return std::nullopt;
  process->ConnectParts();
  if (!process->MakeServers(settings)) return std::nullopt;
  return process;
}

bool gateway_process::MakeFleet(const settings::settings_document& settings) {
  client_ = std::make_unique<net::http1_client>(*loop_, clock_,
                                                net::http1_client_options());
  codec_ = platform::MakePlatformCodec();
  const std::optional<net::endpoint> store =
      EndpointOf(settings, settings::kStoreEndpoint);
  const std::optional<net::endpoint> own =
      EndpointOf(settings, settings::kListenGateways);
  if (!store || !own) return false;
  const common::milliseconds store_timeout(
      settings.Integer(settings::kStoreTimeoutMs));
  rows_ = platform::MakeHttpRowStore(*loop_, *client_, *store, store_timeout);
  const core::fleet_sync_options watching = core::MakeSyncOptions(
      common::milliseconds(settings.Integer(settings::kRoutesApplyMs)),
      common::milliseconds(settings.Integer(settings::kTargetsLeaveMs)),
      store_timeout);
  watch_ = std::make_unique<core::fleet_sync>(
      watching, *rows_, *codec_, routes_, targets_, clock_, *loop_);
  core::gateway_retry_budget_options repeats;
  repeats.ratio = settings.Number(settings::kRepeatRatio);
  repeats.reserve = settings.Number(settings::kRepeatSlack);
  repeats.window =
      common::FromSeconds(settings.Number(settings::kRepeatWindowS));
  retry_budget_ = std::make_unique<core::gateway_retry_budget>(repeats, clock_);
  selector_ = std::make_unique<core::target_selector>(
      core::target_selector_options(), targets_, clock_, *random_,
      settings.Text(settings::kDataCentre));
  link_address_ = net::EndpointText(*own);
  // Differs after a restart, whatever the seed.
  const uint64_t incarnation = common::SystemSeed() >> 1 | 1;
  const double capacity =
      std::min(settings.Number(settings::kCapacityCores),
               settings.Number(settings::kCapacityLinkMbps) / kMbpsPerCore);
  links_ = std::make_unique<gateway_links>(*loop_, clock_, name_, *own,
                                           incarnation, capacity);
  AddSeeds(settings);
  return true;
}

void gateway_process::AddSeeds(const settings::settings_document& settings) {
  const nlohmann::json seeds =
      nlohmann::json::parse(settings.Json(settings::kGatewaySeeds));
  for (const nlohmann::json& address : seeds) {
    if (address.is_string()) links_->AddAddress(address.get<std::string>());
  }
}

void gateway_process::Reload(const settings_reader& read_again) {
  const std::optional<settings::settings_document> settings = read_again();
  if (!settings) {
    common::LogEvent(log_event::kSettingsRead, "",
                     {{"used", false}, {"reason", common::LastReason().text}});
    return;
  }
  AddSeeds(*settings);
  common::LogEvent(log_event::kSettingsRead, "",
                   {{"used", true}, {"at_next_start", "all but the seeds"}});
}

/// Hands a message of another gateway to the part that it is for.
struct gateway_process::message_reader {
  gateway_process* process;
  const std::string& gateway;

  void operator()(const core::stage_job_message& order) const {
    process->stages_->OnJob(gateway, order);
  }
  void operator()(const core::stage_outcome_message& end) const {
    process->stages_->OnOutcome(end);
  }
  void operator()(const core::stage_cancellation_message& withdrawal) const {
    process->stages_->OnCancellation(withdrawal);
  }
  void operator()(const core::stage_release_message& release) const {
    process->stages_->OnRelease(release);
  }
  void operator()(const core::upcoming_stage_message& notice) const {
    process->stages_->OnUpcomingStage(notice);
  }
  void operator()(const core::service_load_message& load) const {
    process->latency_estimator_->UpdateLoad(load.service, load.load);
  }
  void operator()(const core::routes_message& routes) const {
    process->watch_->ApplyRoutes(routes.document, gateway);
  }
  void operator()(const core::leaving_targets_message& leaving) const {
    process->watch_->ApplyLeavingTargets(leaving.draining, leaving.gone);
  }
  void operator()(const core::crash_report& report) const {
    process->suspects_->Merge(report);
  }
  // The links keep these to themselves.
  void operator()(const core::gateway_hello&) const {}
  void operator()(const core::gateway_ping&) const {}
  void operator()(const core::gateway_shutdown_notice&) const {}
  void operator()(const core::gateway_slow_state&) const {}
};

void gateway_process::ConnectParts() {
  latency_estimator_ = std::make_unique<core::stage_latency_estimator>(
      core::stage_latency_estimator_options(), clock_);
  caller_retries_ = std::make_unique<core::caller_retry_detector>(
      core::caller_retry_options(), clock_);
  admission_ = std::make_unique<core::stage_admission>(
      core::stage_admission_options(), *random_);
  suspects_ = std::make_unique<core::crash_suspects>(
      core::crash_suspects_options(), clock_);
  suspects_->SetReportHandler(
      [this](const core::crash_report& report) { links_->Broadcast(report); });
  stages_ = std::make_unique<stage_router>(name_, *links_, clock_, *loop_);
  dispatcher_ = std::make_unique<stage_dispatcher>(
      *loop_, clock_, *client_, *codec_, routes_, targets_, *retry_budget_,
      [this](const std::string& gateway, const core::stage_job_outcome& end) {
        stages_->ReportOutcome(gateway, end);
      },
      [this](const std::string& service, const core::service_load& load) {
        latency_estimator_->UpdateLoad(service, load);
        links_->Broadcast(core::service_load_message{service, load});
      });
  stages_->SetDispatcher(*dispatcher_);
  forwarder_ = std::make_unique<forwarder>(forward_dependencies{
      *loop_, clock_, *random_, *client_, *codec_, routes_, targets_,
      *selector_, *retry_budget_, ejection_, *suspects_, *caller_retries_,
      *stages_, *latency_estimator_, *admission_});
  watch_->SetRoutesHandler([this] { OnRoutes(); });
  targets_.SetLeavingHandler(
      [this](const core::fleet_target& target, core::leaving_reason why) {
        OnLeaving(target, why);
      });
  links_->SetMessageHandler(
      [this](const std::string& gateway, const core::gateway_message& message) {
        std::visit(message_reader{this, gateway}, message);
      });
  links_->SetJoinedHandler([this](const std::string& gateway) {
    retry_budget_->SetGateways(links_->RecentGatewayCount());
    if (routes_.current()) {
      links_->Send(gateway, core::routes_message{routes_.current()->version(),
                                                 watch_->routes_text()});
    }
    for (const core::crash_report& report : suspects_->Reports()) {
      links_->Send(gateway, report);
    }
  });
  links_->SetLostHandler(
      [this](const std::string& gateway) { stages_->OnGatewayLost(gateway); });
}

bool gateway_process::MakeServers(const settings::settings_document& settings) {
  const std::optional<net::endpoint> callers =
      EndpointOf(settings, settings::kListenCallers);
  const std::optional<net::endpoint> operators =
      EndpointOf(settings, settings::kListenOperators);
  const std::optional<net::endpoint> gateways =
      EndpointOf(settings, settings::kListenGateways);
  if (!callers || !operators || !gateways) return false;
  callers_ = net::http1_server::Create(
      *loop_, clock_, *callers, net::http1_server_limits(),
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        forwarder_->Handle(exchange);
      });
  if (!callers_) return false;
  operators_ = net::http1_server::Create(
      *loop_, clock_, *operators, net::http1_server_limits(),
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        OnOperator(exchange);
      });
  if (!operators_) return false;
  net::http_server::options listen;
  listen.address = gateways->address;
  listen.port = gateways->port;
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          *loop_, listen,
          [](const net::http_request&,
             const std::shared_ptr<net::http_responder>& responder) {
            responder->Send(404, "text/plain", "only links end here\n");
          },
          [this](const std::shared_ptr<net::channel>& channel) {
            links_->Accept(channel);
          });
  if (!server) return false;
  gateways_ = std::move(*server);
  return true;
}

void gateway_process::Run(const settings_reader& read_again) {
  loop_->OnStopSignal([this] { Stop(); });
  loop_->OnReloadSignal([this, read_again] { Reload(read_again); });
  watch_->Start();
  links_->Start();
  rows_->Put(codec_->locations().gateways_table, name_, link_address_,
             [](const core::row_store_result& answer) {
               if (answer.status == core::row_store_status::kOk) return;
               common::LogEvent(log_event::kDependencyLost, "",
                                {{"dependency", "own row in the store"}});
             });
  loop_->Schedule(kFirstGatewaysDelay, [this] { ReadGateways(); });
  common::LogEvent(log_event::kStarted, "",
                   {{"port", int64_t{callers_->port()}}});
  loop_->Run();
  common::LogEvent(
      log_event::kStopped, "",
      {{"requests_given_up", static_cast<int64_t>(terminated_requests_)}});
}

void gateway_process::ReadGateways() {
  rows_->ReadTable(codec_->locations().gateways_table,
                   [this](const core::row_store_result& answer) {
                     for (const core::stored_row& row : answer.rows) {
                       links_->AddAddress(row.value);
                     }
                     retry_budget_->SetGateways(links_->RecentGatewayCount());
                     loop_->Schedule(kGatewaysPeriod,
                                     [this] { ReadGateways(); });
                   });
}

void gateway_process::OnRoutes() {
  const core::caller_limits& limits = routes_.current()->limits();
  net::http1_server_limits applied;
  applied.message.max_head_bytes = limits.max_header_bytes;
  applied.message.max_body_bytes = limits.max_body_bytes;
  applied.header_timeout = limits.header_timeout;
  applied.idle_timeout = limits.idle_timeout;
  callers_->SetLimits(applied);
  links_->Broadcast(core::routes_message{routes_.current()->version(),
                                         watch_->routes_text()});
}

void gateway_process::OnLeaving(const core::fleet_target& target,
                                core::leaving_reason why) {
  selector_->hints().Forget(target.entry.id);
  common::LogEvent(log_event::kTargetLeaving, "",
                   {{"target", target.entry.id},
                    {"service", target.entry.service},
                    {"why", core::ToString(why)},
                    {"in_flight", int64_t{target.in_flight}}});
  if (why == core::leaving_reason::kDraining) {
    links_->Broadcast(core::leaving_targets_message{{target.entry.id}, {}});
  } else if (why == core::leaving_reason::kGone && !watch_->store_failing()) {
    links_->Broadcast(core::leaving_targets_message{{}, {target.entry.id}});
  }
}

bool gateway_process::Ready() const {
  return !stopping_ && routes_.current() && watch_->targets_known();
}

void gateway_process::OnOperator(
    const std::shared_ptr<net::http1_exchange>& exchange) {
  const std::string& path = exchange->head().target;
  if (path == "/readyz") {
    exchange->Send(Ready() ? 200 : 503, Ready() ? "OK" : "Service Unavailable",
                   {}, Ready() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    const std::vector<net::http_header> headers = {
        {"Content-Type", "text/plain; version=0.0.4"}};
    common::Metrics().Set("wisteria_gateways_linked",
                          static_cast<double>(links_->LinkedGatewayCount()));
    exchange->Send(200, "OK", headers, common::Metrics().PrometheusText());
  } else if (path == "/healthz") {
    exchange->Send(200, "OK", {}, "ok\n");
  } else {
    exchange->Send(404, "Not Found", {}, "");
  }
}

void gateway_process::Stop() {
  // A second signal changes nothing: the stop stays clean.
  if (stopping_) return;
  stopping_ = true;
  stop_began_ = clock_.Now();
  common::LogEvent(log_event::kStopping, "",
                   {{"requests", static_cast<int64_t>(forwarder_->active())}});
  callers_->CloseAfterAnswers();
  links_->AnnounceShutdown();
  // A row that stays names an address that nobody answers: others dial it in
  // vain, ever less often.
  rows_->Remove(codec_->locations().gateways_table, name_,
                [](const core::row_store_result& answer) {
                  if (answer.status == core::row_store_status::kOk) return;
                  common::Metrics().Count("wisteria_own_rows_left_total");
                });
  EndWhenIdle();
}

void gateway_process::EndWhenIdle() {
  const common::duration passed = clock_.Now() - stop_began_;
  if (passed >= kTurnAwayAfter) {
    callers_->StopAccepting();
    callers_->CloseIdle();
  }
  const bool idle = forwarder_->active() == 0 && callers_->Busy() == 0 &&
                    !dispatcher_->busy();
  const bool over = passed >= stop_limit_;
  if (over) terminated_requests_ = forwarder_->TerminateAll();
  if ((passed >= kLeastStop && idle) || over) {
    callers_->CloseIdle();
    loop_->Schedule(kFlushDelay, [this] { loop_->Stop(); });
    return;
  }
  loop_->Schedule(kStopCheck, [this] { EndWhenIdle(); });
}

}  // namespace wisteriadale::gateway
