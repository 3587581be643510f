#include "agent/agent_process.h"

#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "common/process_usage.h"
#include "core/agent/attempt_message_visitor.h"
#include "core/control_traffic.h"
#include "core/policy/agent_policy.h"
#include "platform/platform_settings.h"
#include "settings/agent_settings.h"
#include "wire/codec.h"

namespace wisteriadale::agent {
namespace {

using common::log_channel;
using common::log_level;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
// No request to an agent has a body.
constexpr size_t kMaxBodyBytes = 1024;
// How long a drained agent waits for the outcomes of operations to be recorded
// when the table is unavailable.
constexpr common::duration kRecordTimeout = std::chrono::seconds(10);
// Time to send the last messages, which tell routers that the agent leaves.
constexpr common::duration kFlushDelay = std::chrono::milliseconds(100);

net::event_loop::options LoopOptions(
    const settings::settings_document& settings) {
  net::event_loop::options options;
  options.max_connections =
      static_cast<int>(settings.Integer(settings::kMaxConnections));
  return options;
}

/// Passes a router's message to the attempt scheduler or to the agent's control
/// part.
struct router_message_visitor : core::attempt_message_visitor {
  agent_process& process;

  using core::attempt_message_visitor::operator();
  void operator()(const core::ping_message& message) const {
    core::ping_message answer;
    answer.sequence = message.sequence;
    answer.answer = true;
    answer.load = scheduler.Load();
    answer.configuration_version = process.control().configuration_version();
    process.Send(link, answer);
  }
  void operator()(const core::hello_message& message) const {
    process.control().OnHello(link, message);
  }
  void operator()(const core::quarantine_message& message) const {
    if (message.lifted) scheduler.LiftQuarantine(message.digest);
  }
  void operator()(const core::order_message& message) const {
    process.control().OnOrder(link, message);
  }
  void operator()(const core::configuration_message& message) const {
    process.control().OnConfiguration(message);
  }
  template <typename other>
  void operator()(const other&) const {}
};

}  // namespace

std::optional<std::unique_ptr<agent_process>> agent_process::Create(
    const settings::settings_document& settings) {
  std::unique_ptr<agent_process> process(new agent_process());
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
  process->target_ = std::make_unique<http_target>(
      *process->loop_,
      net::endpoint{
          settings.Text(settings::kTargetAddress),
          static_cast<uint16_t>(settings.Integer(settings::kTargetPort))},
      process->clock_, *process->random_);
  process->MakeScheduler(settings);
  if (!process->SetPolicies(settings)) return std::nullopt;
  if (!process->Listen(settings)) return std::nullopt;
  process->MakeRecorder(settings);
  process->MakeControl(settings);
  return process;
}

void agent_process::MakeScheduler(const settings::settings_document& settings) {
  core::attempt_scheduler_options options;
  // The incarnation must differ after a restart, also with a fixed seed.
  constexpr uint64_t kPositive = 0x7fffffffffffffff;
  options.incarnation = (common::SystemSeed() & kPositive) | 1;
  options.concurrency_limit =
      static_cast<uint32_t>(settings.Integer(settings::kConcurrencyLimit));
  options.queue_limit =
      static_cast<uint32_t>(settings.Integer(settings::kQueueLimit));
  options.retention =
      common::milliseconds(settings.Integer(settings::kRetentionMs));
  options.orphan_limit =
      common::milliseconds(settings.Integer(settings::kOrphanLimitMs));
  scheduler_ = std::make_unique<core::attempt_scheduler>(options, *target_,
                                                         *this, clock_, *loop_);
  hello_.name = settings.Text(settings::kName);
  hello_.incarnation = options.incarnation;
  hello_.data_centre = settings.Text(settings::kDataCentre);
  hello_.pool = settings.Text(settings::kPool);
}

bool agent_process::Listen(const settings::settings_document& settings) {
  net::http_server::options listen;
  listen.address = settings.Text(settings::kListenAddress);
  listen.port = static_cast<uint16_t>(settings.Integer(settings::kListenPort));
  listen.max_body_bytes = kMaxBodyBytes;
  listen.tls = {settings.Text(settings::kTlsCertificateFile),
                settings.Text(settings::kTlsKeyFile),
                settings.Text(settings::kTlsCaFile)};
  listen.max_connections = bounds_->connections().callers;
  listen.account = &bounds_->account();
  // No response depends on a body.
  listen.refused_by_head = [](const net::http_request&) { return true; };
  std::optional<std::unique_ptr<net::http_server>> server =
      net::http_server::Create(
          *loop_, listen,
          [this](const net::http_request& request,
                 const std::shared_ptr<net::http_responder>& responder) {
            OnHttp(request, responder.get());
          },
          [this](std::shared_ptr<net::channel> channel) {
            Accept(std::move(channel));
          });
  if (!server) return false;
  server_ = std::move(*server);
  hello_.address = listen.address;
  hello_.port = server_->port();
  return true;
}

void agent_process::MakeControl(const settings::settings_document& settings) {
  vms_ =
      platform::MakeHttpVmList(*loop_, platform::PlatformOptionsFrom(settings));
  const net::endpoint target = {
      settings.Text(settings::kTargetAddress),
      static_cast<uint16_t>(settings.Integer(settings::kTargetPort))};
  control_ = std::make_unique<agent_control>(agent_control_dependencies{
      *loop_, clock_, *table_, *vms_, *scheduler_, *this, target, hello_.name,
      hello_.data_centre, settings.Boolean(settings::kTargetChecksAuthority),
      [this] { BroadcastLoad(); }});
}

bool agent_process::SetPolicies(const settings::settings_document& settings) {
  core::agent_policy policy;
  policy.limit = settings.Text(settings::kConcurrencyPolicy);
  policy.queue = settings.Text(settings::kQueuePolicy);
  policy.concurrency.maximum =
      static_cast<uint32_t>(settings.Integer(settings::kConcurrencyLimit));
  policy.concurrency.initial = policy.concurrency.maximum;
  policy.concurrency.tolerance = settings.Number(settings::kLatencyTolerance);
  policy.bounds.bound =
      static_cast<size_t>(settings.Integer(settings::kQueueLimit));
  policy.bounds.deferrable_bound =
      static_cast<size_t>(settings.Integer(settings::kDeferrableQueueLimit));
  std::optional<std::unique_ptr<core::concurrency_limit>> limit =
      core::MakeConcurrencyLimit(policy);
  std::optional<std::unique_ptr<core::attempt_queue>> queue =
      core::MakeAttemptQueue(policy);
  if (!limit || !queue) return false;
  scheduler_->SetPolicies(std::move(*limit), std::move(*queue));
  return true;
}

void agent_process::MakeRecorder(const settings::settings_document& settings) {
  http_table_ =
      platform::MakeHttpTable(*loop_, platform::PlatformOptionsFrom(settings));
  table_ = std::make_unique<core::rate_limited_table>(
      *http_table_, platform::TableRateLimitFrom(settings), clock_, *loop_,
      *random_);
  operations_ = std::make_unique<core::operation_store>(*table_, *loop_, clock_,
                                                        *random_);
  recorder_ = std::make_unique<core::operation_recorder>(
      core::operation_recorder_options(), *operations_, clock_, *loop_);
  scheduler_->SetOperationObserver(recorder_.get());
}

void agent_process::Run() {
  loop_->SetStopSignalHandler([this] { Stop(); });
  loop_->StartWatchdog();
  loop_->SetReloadSignalHandler([] {
    common::Log(common::log_channel::kMain, common::log_level::kInfo,
                "changed settings take effect at the next start");
  });
  control_->Start(hello_);
  common::Log(log_channel::kMain, log_level::kInfo,
              "listening on port " + std::to_string(server_->port()));
  loop_->Run();
  spans_.reset();
  common::Log(log_channel::kMain, log_level::kInfo, "stopped");
}

void agent_process::Stop() {
  // Further signals are ignored, so that the shutdown stays graceful.
  if (stopping_) return;
  stopping_ = true;
  control_->Stop();
  scheduler_->Drain([this] {
    recorder_->Flush(kRecordTimeout, [this] {
      loop_->Schedule(kFlushDelay, [this] { loop_->Stop(); });
    });
  });
}

void agent_process::BroadcastLoad() {
  core::ping_message ping;
  ping.answer = true;
  ping.load = scheduler_->Load();
  ping.configuration_version = control_->configuration_version();
  for (const auto& [link, channel] : channels_) Send(link, ping);
}

void agent_process::Accept(std::shared_ptr<net::channel> channel) {
  const core::router_connection_id link = next_link_++;
  channel->SetMessageHandler(
      [this, link](std::string_view frame) { OnFrame(link, frame); });
  channel->SetClosedHandler([this, link] {
    channels_.erase(link);
    scheduler_->OnLinkClosed(link);
    control_->OnLinkClosed(link);
  });
  channels_.emplace(link, std::move(channel));
  hello_.configuration_version = control_->configuration_version();
  hello_.token_window = scheduler_->token_window();
  Send(link, hello_);
}

void agent_process::OnFrame(core::router_connection_id link,
                            std::string_view frame) {
  const std::optional<core::message> message = wire::Decode(frame);
  if (!message) {
    common::Metrics().Count("wisteria_bad_frames_total");
    common::Log(log_channel::kNet, log_level::kWarning,
                "invalid frame: " + common::LastError().text);
    return;
  }
  core::CountControlMessage("received", *message, frame.size());
  std::visit(router_message_visitor{{*scheduler_, link}, *this}, *message);
}

void agent_process::Send(core::router_connection_id link,
                         const core::message& message) {
  const auto found = channels_.find(link);
  if (found == channels_.end()) return;
  std::string frame = wire::Encode(message);
  core::CountControlMessage("sent", message, frame.size());
  found->second->Send(std::move(frame));
}

void agent_process::OnHttp(const net::http_request& request,
                           net::http_responder* responder) {
  if (request.path == "/healthz") {
    responder->Send(kStatusOk, "text/plain", "ok\n");
  } else if (request.path == "/readyz") {
    responder->Send(stopping_ ? kStatusUnavailable : kStatusOk, "text/plain",
                    stopping_ ? "draining\n" : "ready\n");
  } else if (request.path == "/metrics") {
    core::SetMemoryMetrics(bounds_->account());
    loop_->buffers().SetMetrics();
    common::SetUsageMetrics(common::ReadProcessUsage());
    responder->Send(kStatusOk, "text/plain; version=0.0.4",
                    common::Metrics().PrometheusText());
  } else {
    responder->Send(kStatusNotFound, "text/plain", "not found\n");
  }
}

}  // namespace wisteriadale::agent
