#include "gateway/gateway_process.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/event_log.h"
#include "common/last_error.h"
#include "common/metrics.h"
#include "platform/http_row_store.h"
#include "platform/platform_codec.h"
#include "settings/common_settings.h"
#include "settings/gateway_settings.h"

namespace wisteriadale::gateway {
namespace {

using common::log_event;

// Shortest period at which the addresses of the other gateways are read from
// the store.
constexpr double kDiscoveryPeriodS = 5;
// A reader of the store that has told nothing for so many periods of reads is
// replaced.
constexpr int kMaxReaderSilence = 3;
// The period grows with the fleet, so that its calls do not: all gateways
// together read as often as this many did.
constexpr double kDiscoveringGateways = 8;
constexpr double kMaxDiscoveryPeriodS = 60;
// Added at random, as a share: gateways that started together neither read nor
// write at the same moment for long.
constexpr double kDiscoverySpread = 0.2;
// Delay of the first read after a start.
constexpr common::duration kInitialDiscoveryDelay =
    std::chrono::milliseconds(300);
// The load balancer sends new connections until two checks, a second apart,
// found the process not ready. Later connections are refused: their requests
// might not finish within the grace period.
constexpr common::duration kStopAcceptingAfter =
    std::chrono::milliseconds(2200);
// An idle process keeps running for this long after the stop signal.
constexpr common::duration kMinStopTime = std::chrono::milliseconds(2400);
// Part of the grace period that is reserved for ending the requests that are
// left and flushing their responses.
constexpr common::duration kTerminationMargin = std::chrono::milliseconds(500);
// Mbit/s of network traffic per core of a gateway whose queues are busy. Limits
// its capacity as queue owner.
constexpr double kOwnerMbpsPerCore = 400;
// No request of an operator or of another gateway has a body.
constexpr uint64_t kMaxOperatorBodyBytes = 1024;
constexpr common::duration kUsageCheckPeriod = std::chrono::seconds(1);
constexpr common::duration kStopCheckPeriod = std::chrono::milliseconds(100);
// Time for the last responses to leave before the event loop stops.
constexpr common::duration kFlushDelay = std::chrono::milliseconds(50);

std::optional<net::endpoint> EndpointSetting(
    const settings::settings_document& settings, const settings::setting& key) {
  std::optional<net::endpoint> parsed = net::ParseEndpoint(settings.Text(key));
  if (!parsed) {
    common::SetLastError(
        common::result_code::kBadSettings,
        std::string(key.pointer) + ": " + common::LastError().text);
  }
  return parsed;
}

}  // namespace

std::optional<std::unique_ptr<gateway_process>> gateway_process::Create(
    const settings::settings_document& settings) {
  std::unique_ptr<gateway_process> process(new gateway_process());
  const uint64_t seed =
      static_cast<uint64_t>(settings.Integer(settings::kRandomSeed));
  process->random_ = std::make_unique<common::seeded_random>(
      seed == 0 ? common::SystemSeed() : seed);
  const common::process_resources resources = settings::ResourcesOf(settings);
  if (resources.descriptors < int64_t{core::kMinConnectionDescriptors}) {
    common::SetLastError(common::result_code::kBadSettings,
                         std::string(settings::kReservedDescriptors.pointer) +
                             " leaves too little of " +
                             std::string(settings::kMaxConnections.pointer) +
                             ": " + std::to_string(resources.descriptors));
    return std::nullopt;
  }
  net::event_loop::options options;
  options.max_connections =
      static_cast<int>(settings.Integer(settings::kMaxConnections));
  options.dial_timeout =
      common::milliseconds(settings.Integer(settings::kDialTimeoutMs));
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create(options);
  if (!loop) return std::nullopt;
  process->loop_ = std::move(*loop);
  process->bounds_ =
      std::make_unique<core::process_bounds>(resources, process->clock_);
  process->loop_->buffers().SetPolicy(process->bounds_->receive());
  process->name_ = settings.Text(settings::kName);
  process->stop_timeout_ =
      common::FromSeconds(settings.Number(settings::kStopGraceS)) -
      kTerminationMargin;
  if (!process->CreateFleet(settings)) return std::nullopt;
  process->ConnectComponents();
  const std::string policy_name = settings.Text(settings::kStagesQueuePolicy);
  const core::queue_policy* policy = core::FindQueuePolicy(policy_name);
  if (policy == nullptr) {
    common::SetLastError(common::result_code::kBadSettings,
                         std::string(settings::kStagesQueuePolicy.pointer) +
                             " is unknown: " + policy_name);
    return std::nullopt;
  }
  process->dispatcher_->SetQueuePolicy(*policy);
  if (!process->CreateServers(settings)) return std::nullopt;
  process->LimitConnections();
  return process;
}

bool gateway_process::CreateFleet(const settings::settings_document& settings) {
  client_ = std::make_unique<net::http1_client>(*loop_, clock_,
                                                net::http1_client_options());
  codec_ = platform::MakePlatformCodec();
  const std::optional<net::endpoint> store =
      EndpointSetting(settings, settings::kStoreEndpoint);
  const std::optional<net::endpoint> own =
      EndpointSetting(settings, settings::kListenGateways);
  if (!store || !own) return false;
  const common::milliseconds store_timeout(
      settings.Integer(settings::kStoreTimeoutMs));
  store_ = platform::MakeHttpRowStore(*loop_, *client_, *store, store_timeout);
  const core::fleet_sync_options sync_options = core::MakeSyncOptions(
      common::milliseconds(settings.Integer(settings::kRoutesApplyMs)),
      common::milliseconds(settings.Integer(settings::kTargetsLeaveMs)),
      store_timeout,
      common::milliseconds(settings.Integer(settings::kTargetsHeartbeatMs)));
  data_centre_ = settings.Text(settings::kDataCentre);
  core::store_reader_choice_options reader_options;
  reader_options.max_silence = kMaxReaderSilence * sync_options.targets_period;
  store_reader_ = std::make_unique<core::store_reader_choice>(
      reader_options, clock_, name_, data_centre_);
  fleet_sync_ = std::make_unique<core::fleet_sync>(
      sync_options, *store_, *codec_, routes_, targets_, clock_, *loop_);
  core::gateway_retry_budget_options budget_options;
  budget_options.ratio = settings.Number(settings::kRepeatRatio);
  budget_options.reserve = settings.Number(settings::kRepeatSlack);
  budget_options.window =
      common::FromSeconds(settings.Number(settings::kRepeatWindowS));
  retry_budget_ =
      std::make_unique<core::gateway_retry_budget>(budget_options, clock_);
  selector_ = std::make_unique<core::target_selector>(
      core::target_selector_options(), targets_, clock_, *random_,
      settings.Text(settings::kDataCentre));
  link_address_ = net::FormatEndpoint(*own);
  // Must differ after each restart, even with a fixed random seed.
  const uint64_t incarnation = common::SystemSeed() >> 1 | 1;
  const double capacity = std::min(
      settings.Number(settings::kCapacityCores),
      settings.Number(settings::kCapacityLinkMbps) / kOwnerMbpsPerCore);
  links_ = std::make_unique<gateway_links>(*loop_, clock_, name_, *own,
                                           incarnation, capacity, data_centre_);
  routes_exchange_ = std::make_unique<core::routes_exchange>(
      core::MakeRoutesExchangeOptions(
          common::milliseconds(settings.Integer(settings::kRoutesApplyMs))),
      routes_, clock_, *loop_, *random_,
      [this](const std::string& gateway, const core::routes_edition& edition) {
        return links_->Send(gateway, core::routes_request{edition});
      });
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
                     {{"used", false}, {"reason", common::LastError().text}});
    return;
  }
  AddSeeds(*settings);
  common::LogEvent(log_event::kSettingsRead, "",
                   {{"used", true}, {"at_next_start", "all but the seeds"}});
}

void gateway_process::ConnectComponents() {
  latency_estimator_ = std::make_unique<core::stage_latency_estimator>(
      core::stage_latency_estimator_options(), clock_);
  caller_retries_ = std::make_unique<core::caller_retry_detector>(
      core::caller_retry_options(), clock_);
  admission_ = std::make_unique<core::stage_admission>(
      core::stage_admission_options(), *random_);
  crash_links_ = std::make_unique<crash_links>(
      *store_, codec_->locations().suspects_table, targets_, *links_, clock_,
      *loop_, [this] { return ReadsForDataCentre(); });
  statements_ = std::make_unique<core::target_statements>(targets_, clock_);
  evacuation_links_ = std::make_unique<evacuation_links>(
      evacuations_, targets_, *links_, clock_,
      [this] { return ReadsForDataCentre(); });
  fleet_sync_->SetEvacuations(&evacuations_);
  CreateLimits();
  stage_router_ =
      std::make_unique<stage_router>(name_, *links_, clock_, *loop_);
  dispatcher_ = std::make_unique<stage_dispatcher>(
      *loop_, clock_, *client_, *codec_, routes_, targets_, *retry_budget_,
      *statements_, *limits_, *slots_, crash_links_->requests(),
      crash_links_->watch(),
      [this](const core::stage_job_outcome& outcome) {
        stage_router_->ReportOutcome(outcome);
      },
      [this](const std::string& service, const core::service_load& load) {
        latency_estimator_->UpdateLoad(service, load);
        links_->Broadcast(core::service_load_message{service, load});
      });
  stage_router_->SetDispatcher(*dispatcher_);
  core::crash_suspects& suspects = crash_links_->requests();
  core::crash_suspects& part_suspects = crash_links_->parts();
  core::crash_watch& crash_watch = crash_links_->watch();
  forwarder_ = std::make_unique<forwarder>(forward_dependencies{
      *loop_,        clock_,           *random_,       *client_,
      *codec_,       routes_,          targets_,       *selector_,
      first_events_, *retry_budget_,   ejection_,      suspects,
      part_suspects, crash_watch,      *statements_,   *limits_,
      *slots_,       *caller_retries_, *stage_router_, *latency_estimator_,
      *admission_,   stop_admission_});
  fleet_sync_->SetRoutesHandler([this] { OnRoutesChanged(); });
  fleet_sync_->SetReadHandler(
      [this](const core::store_read& read, common::time_point read_at) {
        OnStoreRead(read, read_at);
      });
  targets_.SetLeavingHandler(
      [this](const core::fleet_target& target, core::leaving_reason why) {
        OnTargetLeaving(target, why);
      });
  links_->SetMessageHandler(
      [this](const std::string& gateway, const core::gateway_message& message) {
        OnMessage(gateway, message);
      });
  links_->SetJoinedHandler(
      [this](const std::string& gateway) { OnGatewayJoined(gateway); });
  links_->SetLostHandler([this](const std::string& gateway) {
    statement_clock_.Forget(gateway);
    store_reader_->OnGatewayLost(gateway);
    routes_exchange_->OnGatewayLost(gateway);
    stage_router_->OnGatewayLost(gateway);
  });
}

void gateway_process::CreateLimits() {
  limits_ = std::make_unique<core::target_limits>(clock_);
  limit_links_ = std::make_unique<limit_links>(name_, *links_);
  slots_ = std::make_unique<core::target_slots>(core::target_slots_options(),
                                                *limits_, *limit_links_, clock_,
                                                *loop_, *random_);
  limits_->SetReportHandler(
      [this](const core::limit_report& report) { links_->Broadcast(report); });
  limits_->SetBegunHandler(
      [this](const std::string& target) { slots_->OnLimitBegun(target); });
  limits_->SetEndedHandler(
      [this](const std::string& target) { slots_->OnLimitEnded(target); });
  cold_targets_ = std::make_unique<core::cold_targets>(
      targets_, routes_, *limits_, clock_, *loop_);
}

bool gateway_process::CreateServers(
    const settings::settings_document& settings) {
  const std::optional<net::endpoint> callers =
      EndpointSetting(settings, settings::kListenCallers);
  const std::optional<net::endpoint> operators =
      EndpointSetting(settings, settings::kListenOperators);
  const std::optional<net::endpoint> gateways =
      EndpointSetting(settings, settings::kListenGateways);
  if (!callers || !operators || !gateways) return false;
  caller_server_ = net::http1_server::Create(
      *loop_, clock_, *callers, net::http1_server_limits(),
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        forwarder_->Handle(exchange);
      });
  if (!caller_server_) return false;
  caller_server_->SetAccount(bounds_->account());
  caller_server_->SetHeadCheck([this](const net::message_head& head) {
    return forwarder_->IsRefusedByHead(head);
  });
  operator_pages_ = std::make_unique<operator_pages>(operator_sources{
      *links_, *fleet_sync_, *crash_links_, bounds_->account(),
      loop_->buffers(), [this] { return Ready(); },
      [this] { return ReadsForDataCentre(); }, [this] { return ReadUsage(); }});
  net::http1_server_limits operator_limits;
  operator_limits.message.max_body_bytes = kMaxOperatorBodyBytes;
  operator_server_ = net::http1_server::Create(
      *loop_, clock_, *operators, operator_limits,
      [this](const std::shared_ptr<net::http1_exchange>& exchange) {
        operator_pages_->Handle(exchange);
      });
  if (!operator_server_) return false;
  net::http_server::options listen;
  listen.address = gateways->address;
  listen.port = gateways->port;
  listen.max_body_bytes = kMaxOperatorBodyBytes;
  // Those that have become channels do not count.
  listen.max_connections = bounds_->connections().operators;
  listen.account = &bounds_->account();
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          *loop_, listen,
          [](const net::http_request&,
             const std::shared_ptr<net::http_responder>& responder) {
            responder->Send(404, "text/plain",
                            "this port accepts gateway links only\n");
          },
          [this](const std::shared_ptr<net::channel>& channel) {
            links_->Accept(channel);
          });
  if (!server) return false;
  link_server_ = std::move(*server);
  return true;
}

void gateway_process::LimitConnections() {
  const core::connection_limits& limits = bounds_->connections();
  caller_server_->SetMaxConnections(limits.callers);
  operator_server_->SetMaxConnections(limits.operators);
  common::LogEvent(
      log_event::kConnectionsLimited, "",
      {{"descriptors", static_cast<int64_t>(bounds_->usable_connections())},
       {"callers", static_cast<int64_t>(limits.callers)},
       {"operators", static_cast<int64_t>(limits.operators)}});
}

void gateway_process::Run(const settings_reader& read_again) {
  loop_->SetStopSignalHandler([this] { Stop(); });
  loop_->StartWatchdog();
  loop_->SetReloadSignalHandler([this, read_again] { Reload(read_again); });
  // Before there are routes: a request that is counted is not passed on.
  crash_links_->Start([this] {
    fleet_sync_->Start();
    links_->Start();
  });
  WriteOwnRow();
  loop_->Schedule(kInitialDiscoveryDelay, [this] { DiscoverGateways(); });
  common::LogEvent(log_event::kStarted, "",
                   {{"port", int64_t{caller_server_->port()}}});
  CheckUsage();
  loop_->Run();
  common::LogEvent(
      log_event::kStopped, "",
      {{"requests_given_up", static_cast<int64_t>(terminated_requests_)},
       {"responses_given_up", static_cast<int64_t>(given_up_.connections)},
       {"bytes_given_up", static_cast<int64_t>(given_up_.bytes)}});
}

void gateway_process::WriteOwnRow() {
  if (writing_own_row_ || stopping_) return;
  writing_own_row_ = true;
  store_->Write(codec_->locations().gateways_table,
                {{core::row_change{name_, link_address_}}},
                [this](const core::row_store_result& result) {
                  writing_own_row_ = false;
                  if (result.status == core::row_store_status::kOk) return;
                  common::LogEvent(log_event::kDependencyLost, "",
                                   {{"dependency", "own row in the store"}});
                });
}

void gateway_process::DiscoverGateways() {
  retry_budget_->SetGateways(links_->RecentGatewayCount());
  loop_->Schedule(
      common::FromSeconds(kDiscoveryPeriodS *
                          (1 + kDiscoverySpread * random_->Uniform())),
      [this] { DiscoverGateways(); });
  const common::time_point now = clock_.Now();
  if (now < next_discovery_) return;
  const double share =
      static_cast<double>(links_->RecentGatewayCount()) / kDiscoveringGateways;
  // Rounded down to the periods of this timer.
  next_discovery_ = now + common::FromSeconds(std::min(
                              kDiscoveryPeriodS * share, kMaxDiscoveryPeriodS));
  store_->ReadTable(
      codec_->locations().gateways_table,
      [this](const core::row_store_result& result) {
        bool listed = false;
        for (const core::stored_row& row : result.rows) {
          links_->AddAddress(row.value);
          listed = listed || (row.key == name_ && row.value == link_address_);
        }
        // Not written at the start, or lost when the store was restored.
        if (result.status != core::row_store_status::kOk) {
          next_discovery_ = {};
        } else if (!listed) {
          WriteOwnRow();
        }
      });
}

bool gateway_process::Ready() const {
  return !stopping_ && routes_.current() && fleet_sync_->targets_known();
}

common::process_usage gateway_process::ReadUsage() const {
  common::process_usage usage = common::ReadProcessUsage();
  usage.connections = static_cast<int64_t>(caller_server_->ConnectionCount() +
                                           operator_server_->ConnectionCount());
  return usage;
}

void gateway_process::CheckUsage() {
  const common::process_usage usage = ReadUsage();
  if (usage_growth_.Update(usage)) common::LogProcessUsage(usage, "grown");
  loop_->Schedule(kUsageCheckPeriod, [this] { CheckUsage(); });
}

void gateway_process::Stop() {
  // A second signal does not cut the graceful stop short.
  if (stopping_) return;
  stopping_ = true;
  stop_started_ = clock_.Now();
  stop_admission_.Begin(stop_started_ + stop_timeout_);
  common::LogEvent(log_event::kStopping, "",
                   {{"requests", static_cast<int64_t>(forwarder_->active())}});
  caller_server_->DisableKeepAlive();
  links_->AnnounceShutdown();
  crash_links_->BeginStop();
  // If the row stays, the others keep dialling an address that does not
  // respond, with back-off.
  store_->Write(codec_->locations().gateways_table,
                {{core::row_change{name_, std::nullopt}}},
                [](const core::row_store_result& result) {
                  if (result.status == core::row_store_status::kOk) return;
                  common::Metrics().Count("wisteria_own_rows_left_total");
                });
  common::LogProcessUsage(ReadUsage(), "stopping");
  StopWhenIdle();
}

void gateway_process::StopWhenIdle() {
  const common::duration elapsed = clock_.Now() - stop_started_;
  if (elapsed >= kStopAcceptingAfter) {
    caller_server_->StopAccepting();
    caller_server_->CloseIdle();
  }
  const bool idle = forwarder_->active() == 0 &&
                    caller_server_->ActiveRequests() == 0 &&
                    caller_server_->Undelivered().bytes == 0 &&
                    !dispatcher_->busy() && links_->PendingBytes() == 0;
  const bool timed_out = elapsed >= stop_timeout_;
  if (timed_out) terminated_requests_ = forwarder_->TerminateAll();
  if ((elapsed >= kMinStopTime && idle) || timed_out) {
    caller_server_->CloseIdle();
    loop_->Schedule(kFlushDelay, [this] {
      given_up_ = caller_server_->Undelivered();
      caller_server_->ReportGivenUp();
      loop_->Stop();
    });
    return;
  }
  loop_->Schedule(kStopCheckPeriod, [this] { StopWhenIdle(); });
}

}  // namespace wisteriadale::gateway
