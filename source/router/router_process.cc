#include "router/router_process.h"

#include <nlohmann/json.hpp>

#include "common/log.h"
#include "common/metrics.h"
#include "common/process_usage.h"
#include "platform/platform_settings.h"
#include "settings/router_settings.h"

namespace wisteriadale::router {
namespace {

using common::log_channel;
using common::log_level;

// Copies of a body while its request is in progress: of the request, its
// executor and the writer of its response, and on its way to an agent.
constexpr size_t kBodyCopies = 4;
// Time to write out the last responses before the loop ends.
constexpr common::duration kFlushDelay = std::chrono::milliseconds(100);

net::event_loop::options LoopOptions(
    const settings::settings_document& settings) {
  net::event_loop::options options;
  options.max_connections =
      static_cast<int>(settings.Integer(settings::kMaxConnections));
  options.dial_timeout =
      common::milliseconds(settings.Integer(settings::kDialTimeoutMs));
  options.client_tls = {settings.Text(settings::kTlsCertificateFile),
                        settings.Text(settings::kTlsKeyFile),
                        settings.Text(settings::kTlsCaFile)};
  return options;
}

/// @return the addresses of /peers/seeds; invalid entries are skipped
std::vector<net::endpoint> SeedPeers(
    const settings::settings_document& settings) {
  std::vector<net::endpoint> seeds;
  const nlohmann::json list =
      nlohmann::json::parse(settings.Json(settings::kPeerSeeds));
  for (const nlohmann::json& entry : list) {
    if (!entry.is_string()) continue;
    const std::optional<net::endpoint> seed =
        net::ParseEndpoint(entry.get<std::string>());
    if (seed) seeds.push_back(*seed);
  }
  return seeds;
}

}  // namespace

std::optional<std::unique_ptr<router_process>> router_process::Create(
    const settings::settings_document& settings) {
  std::unique_ptr<router_process> process(new router_process());
  const uint64_t seed =
      static_cast<uint64_t>(settings.Integer(settings::kRandomSeed));
  process->random_ = std::make_unique<common::seeded_random>(
      seed == 0 ? common::SystemSeed() : seed);
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create(LoopOptions(settings));
  if (!loop) return std::nullopt;
  process->loop_ = std::move(*loop);
  process->bounds_ = std::make_unique<core::process_bounds>(
      settings::ResourcesOf(settings), process->clock_);
  process->loop_->buffers().SetPolicy(process->bounds_->receive());
  const std::string trace_file = settings.Text(settings::kTraceFile);
  if (!trace_file.empty()) {
    std::optional<std::unique_ptr<common::span_exporter>> spans =
        common::span_exporter::Create(settings.Text(settings::kName),
                                      trace_file, *process->loop_);
    if (!spans) return std::nullopt;
    process->spans_ = std::move(*spans);
  }

  process->MakePlatform(settings);
  process->MakeExecutorDependencies(settings);
  process->MakeInterfaces(settings);
  if (!process->Listen(settings)) return std::nullopt;
  process->Supervise(settings);
  return process;
}

void router_process::MakePlatform(const settings::settings_document& settings) {
  const platform::platform_options platform =
      platform::PlatformOptionsFrom(settings);
  http_table_ = platform::MakeHttpTable(*loop_, platform);
  table_ = std::make_unique<core::rate_limited_table>(
      *http_table_, platform::TableRateLimitFrom(settings), clock_, *loop_,
      *random_);
  objects_ = platform::MakeHttpObjectStore(*loop_, platform);
  vms_ = platform::MakeHttpVmList(*loop_, platform);
}

void router_process::MakeExecutorDependencies(
    const settings::settings_document& settings) {
  const std::string name = settings.Text(settings::kName);
  const std::string data_centre = settings.Text(settings::kDataCentre);
  hello_.name = name;
  hello_.data_centre = data_centre;
  hello_.is_router = true;
  // Must differ after a restart, also with a fixed seed.
  hello_.incarnation = common::SystemSeed() >> 1 | 1;
  policies_ = std::make_unique<core::policy_provider>(
      clock_, *random_, core::router_entry{name, data_centre});
  links_ = std::make_unique<agent_links>(*loop_, clock_, targets_, hello_);
  attempts_ = std::make_unique<core::attempt_table>(
      *links_, *loop_,
      common::milliseconds(settings.Integer(settings::kReconnectLimitMs)));
  links_->SetAttempts(attempts_.get());
  operation_rows_ = std::make_unique<core::batching_table>(
      core::batching_table_options(), *table_);
  operations_ = std::make_unique<core::operation_store>(
      *operation_rows_, *loop_, clock_, *random_);
  in_doubt_ = std::make_unique<core::in_doubt_resolver>(*table_, *operations_,
                                                        *attempts_, clock_);
  executor_dependencies_ = std::make_unique<core::executor_dependencies>(
      core::executor_dependencies{clock_, *loop_, *random_, targets_,
                                  *policies_, *attempts_, *operations_, name});
}

void router_process::MakeInterfaces(
    const settings::settings_document& settings) {
  control_ = std::make_unique<control_plane>(control_plane_dependencies{
      *loop_, clock_, *random_, *table_, *objects_, targets_, *links_, hello_,
      common::milliseconds(settings.Integer(settings::kConfigurationPollMs))});
  executor_dependencies_->quarantined_requests =
      &control_->quarantined_requests();
  for (const net::endpoint& seed : SeedPeers(settings)) {
    control_->peers().AddSeed(seed);
  }
  callers_ = std::make_unique<caller_api>(
      *executor_dependencies_, control_->configuration(),
      caller_limits{settings.Integer(settings::kMaxDeadlineMs)});
  operators_ = std::make_unique<operator_api>(
      targets_, *control_, operation_api(*operations_, *in_doubt_), hello_.name,
      settings.Text(settings::kOperatorKeySha256));
  stop_grace_ = common::milliseconds(settings.Integer(settings::kStopGraceMs));
}

bool router_process::IsRefusedByHead(const net::http_request& request) const {
  if (caller_api::Owns(request.path)) return callers_->IsRefusedByHead(request);
  return !operator_api::Owns(request.path) ||
         operators_->IsRefusedByHead(request);
}

bool router_process::Listen(const settings::settings_document& settings) {
  net::http_server::options listen;
  listen.address = settings.Text(settings::kListenAddress);
  listen.port = static_cast<uint16_t>(settings.Integer(settings::kListenPort));
  listen.max_body_bytes =
      static_cast<size_t>(settings.Integer(settings::kMaxBodyBytes));
  listen.tls.certificate_file = settings.Text(settings::kHttpCertificateFile);
  listen.tls.key_file = settings.Text(settings::kHttpKeyFile);
  listen.receive_timeout =
      common::milliseconds(settings.Integer(settings::kReceiveTimeoutMs));
  listen.send_stall_limit =
      common::milliseconds(settings.Integer(settings::kSendStallMs));
  listen.max_pending_bytes =
      static_cast<size_t>(settings.Integer(settings::kMaxPendingBytes));
  listen.max_connections = bounds_->connections().callers;
  listen.max_channels = bounds_->connections().channels;
  listen.account = &bounds_->account();
  listen.body_copies = kBodyCopies;
  listen.refused_by_head = [this](const net::http_request& request) {
    return IsRefusedByHead(request);
  };
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          *loop_, listen,
          [this](const net::http_request& request,
                 const std::shared_ptr<net::http_responder>& responder) {
            OnHttp(request, responder);
          },
          [this](std::shared_ptr<net::channel> channel) {
            control_->peers().Accept(std::move(channel));
          });
  if (!server) return false;
  server_ = std::move(*server);
  control_->peers().SetListenAddress(listen.address, server_->port());
  return true;
}

void router_process::Run() {
  loop_->SetStopSignalHandler([this] { Stop(); });
  loop_->StartWatchdog();
  loop_->SetReloadSignalHandler([] {
    common::Log(common::log_channel::kMain, common::log_level::kInfo,
                "changed settings take effect at the next start");
  });
  root_->Start();
  common::Log(log_channel::kMain, log_level::kInfo,
              "listening on port " + std::to_string(server_->port()));
  loop_->Run();
  spans_.reset();
  common::Log(log_channel::kMain, log_level::kInfo, "stopped");
}

void router_process::Supervise(const settings::settings_document& settings) {
  control_component_ = std::make_unique<common::callback_component>(
      "control_plane", [this] { control_->Start(); },
      [this](const std::function<void()>& on_stopped) {
        control_->Stop();
        on_stopped();
      });
  core::vm_list_poller_options polling;
  polling.period =
      common::milliseconds(settings.Integer(settings::kVmListPollMs));
  vm_list_component_ = std::make_unique<core::vm_list_poller>(
      polling, *vms_, clock_, *loop_,
      [this](const std::vector<core::vm_entry>& list) { OnVmList(list); });
  links_component_ = std::make_unique<common::callback_component>(
      "agent_links", [this] { links_->Tick(); },
      [](const std::function<void()>& on_stopped) { on_stopped(); });
  callers_component_ = std::make_unique<common::callback_component>(
      "caller_api", [] {},
      [this](const std::function<void()>& on_stopped) {
        callers_->StopAdmitting();
        server_->DisableKeepAlive();
        callers_->NotifyWhenIdle(on_stopped);
      });
  root_ = std::make_unique<common::supervisor>("router", clock_, *loop_,
                                               common::supervision_options());
  root_->Add(*control_component_);
  root_->Add(*vm_list_component_);
  root_->Add(*links_component_);
  root_->Add(*callers_component_);
  // A router that cannot recover stops, so that it can be replaced.
  root_->SetGiveUpHandler([this] { Stop(); });
}

void router_process::OnVmList(const std::vector<core::vm_entry>& entries) {
  control_->OnVmList(entries);
  policies_->SetRouters(core::LiveRouters(entries));
}

void router_process::Stop() {
  // Further signals are ignored, so that the shutdown stays graceful.
  if (stopping_) return;
  stopping_ = true;
  loop_->Schedule(stop_grace_, [this] {
    root_->Stop(
        [this] { loop_->Schedule(kFlushDelay, [this] { loop_->Stop(); }); });
  });
}

bool router_process::Ready() const {
  return !stopping_ && control_->configuration().Ready();
}

void router_process::SendMetrics(net::http_responder* responder) const {
  core::SetMemoryMetrics(bounds_->account());
  loop_->buffers().SetMetrics();
  common::SetUsageMetrics(common::ReadProcessUsage());
  responder->Send(200, "text/plain; version=0.0.4",
                  common::Metrics().PrometheusText());
}

void router_process::OnHttp(
    const net::http_request& request,
    const std::shared_ptr<net::http_responder>& responder) {
  if (callers_->Handle(request, responder)) return;
  if (operators_->Handle(request, responder)) return;
  if (request.path == "/healthz") {
    responder->Send(200, "text/plain", "ok\n");
  } else if (request.path == "/readyz") {
    responder->Send(Ready() ? 200 : 503, "text/plain",
                    Ready() ? "ready\n" : "not ready\n");
  } else if (request.path == "/metrics") {
    SendMetrics(responder.get());
  } else {
    SendError(responder.get(), common::result_code::kNotFound, "");
  }
}

}  // namespace wisteriadale::router
