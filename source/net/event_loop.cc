#include "net/event_loop.h"

#include <sys/resource.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>

#include "common/last_error.h"
#include "common/log.h"
#include "common/process_signals.h"
#include "net/lws_protocols.h"
#include "net/stream_channel.h"

namespace wisteriadale::net {
namespace {

constexpr unsigned kNetworkTimeoutSeconds = 60;
constexpr unsigned kServiceBufferBytes = 16 * 1024;
constexpr size_t kChannelReadBytes = size_t{16} * 1024;
// Delay from which a timer is held back until the sockets have been read once.
constexpr int64_t kLateTimerMicros = 10'000;

/// Sets the process's limit on open file descriptors, within its hard limit.
/// @return whether the limit is set
bool SetDescriptorLimit(int max_descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur =
        std::min(static_cast<rlim_t>(max_descriptors), limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &limit) == 0) return true;
  }
  common::Log(common::log_channel::kNet, common::log_level::kWarning,
              std::string("cannot set the limit on open file descriptors: ") +
                  std::strerror(errno));
  return false;
}

// Context of the loop that handles the signals of the process.
lws_context* signal_context = nullptr;

void WakeSignalLoop() {
  if (signal_context != nullptr) lws_cancel_service(signal_context);
}

// State of the watchdog, whose signal arrives after each second of processor
// time.
volatile std::sig_atomic_t loop_turns = 0;
volatile std::sig_atomic_t watched_turn = 0;
volatile std::sig_atomic_t seconds_in_turn = 0;
volatile std::sig_atomic_t max_seconds_in_turn = 0;

void HandleCpuSecond(int) {
  if (watched_turn != loop_turns) {
    watched_turn = loop_turns;
    seconds_in_turn = 0;
    return;
  }
  seconds_in_turn = seconds_in_turn + 1;
  if (seconds_in_turn < max_seconds_in_turn) return;
  constexpr char kMessage[] = "the event loop is stuck in one call; aborting\n";
  if (write(STDERR_FILENO, kMessage, sizeof(kMessage) - 1) < 0) std::abort();
  std::abort();
}

const char* PathOrNull(const std::string& path) {
  return path.empty() ? nullptr : path.c_str();
}

void EmitLwsLog(int level, const char* line) {
  std::string text(line);
  while (!text.empty() && text.back() == '\n') text.pop_back();
  const bool error = (level & LLL_ERR) != 0;
  common::Log(common::log_channel::kNet,
              error ? common::log_level::kWarning : common::log_level::kDebug,
              text);
}

}  // namespace

struct event_loop::timer {
  /// Has standard layout, as libwebsockets passes only a pointer to the first
  /// member, from which lws_container_of finds the slot.
  struct slot {
    lws_sorted_usec_list_t sul{};
    event_loop* loop = nullptr;
    common::timer_id id = 0;
  };
  slot scheduled;
  int64_t due_us = 0;
  bool held_back = false;  ///< it was late, and the sockets were read since
  std::function<void()> action;
};

const lws_protocols* ClientProtocols() {
  static const lws_protocols kProtocols[] = {
      {kHttpClientProtocol, HttpClientCallback, 0, 0, 0, nullptr, 0},
      {kChannelClientProtocol, ChannelClientCallback, 0, kChannelReadBytes, 0,
       nullptr, 0},
      {kSocketProtocol, SocketCallback, 0, 0, 0, nullptr, 0},
      {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
  return kProtocols;
}

std::optional<std::unique_ptr<event_loop>> event_loop::Create(
    const options& chosen) {
  lws_set_log_level(LLL_ERR | LLL_WARN, EmitLwsLog);
  std::unique_ptr<event_loop> loop(new event_loop());
  loop->dial_timeout_ = chosen.dial_timeout;
  lws_context_creation_info info{};
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                 LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT |
                 // All addresses are IPv4. Without this option no socket opens
                 // on a VM that has no IPv6.
                 LWS_SERVER_OPTION_DISABLE_IPV6;
  info.user = loop.get();
  info.gid = -1;
  info.uid = -1;
  // libwebsockets indexes its table by descriptor number only if the table is
  // as large as the process's limit; otherwise each open and close scans it.
  if (!SetDescriptorLimit(chosen.max_connections)) {
    info.fd_limit_per_thread = static_cast<unsigned>(chosen.max_connections);
  }
  info.pt_serv_buf_size = kServiceBufferBytes;
  info.timeout_secs = kNetworkTimeoutSeconds;
  loop->context_ = lws_create_context(&info);
  if (loop->context_ == nullptr) {
    common::SetLastError(common::result_code::kInternal,
                         "cannot create the libwebsockets context");
    return std::nullopt;
  }
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = ClientProtocols();
  info.vhost_name = "client";
  const tls_options& tls = chosen.client_tls;
  // Loading the system's CA certificates costs 240 million instructions.
  if (!tls.enabled() || !tls.ca_file.empty()) {
    info.options |= LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS;
  }
  if (tls.enabled()) {
    info.client_ssl_ca_filepath = PathOrNull(tls.ca_file);
    info.client_ssl_cert_filepath = PathOrNull(tls.certificate_file);
    info.client_ssl_private_key_filepath = PathOrNull(tls.key_file);
    loop->client_tls_ = true;
  }
  loop->client_vhost_ = lws_create_vhost(loop->context_, &info);
  if (loop->client_vhost_ == nullptr) {
    common::SetLastError(common::result_code::kBadSettings,
                         "cannot set up TLS for outgoing connections");
    return std::nullopt;
  }
  return loop;
}

event_loop::~event_loop() {
  if (signal_context == context_) {
    common::SetSignalWaker(nullptr);
    signal_context = nullptr;
  }
  for (auto& [id, entry] : timers_) lws_sul_cancel(&entry->scheduled.sul);
  // Objects that an action captures may cancel timers when they are destroyed.
  std::unordered_map<common::timer_id, std::unique_ptr<timer>> dropped;
  dropped.swap(timers_);
  dropped.clear();
  if (context_ == nullptr) return;
  // The objects that the handlers refer to are destroyed before the loop.
  DropChannelHandlers(context_);
  DropAcceptedHandlers(*this);
  DropCallHandlers(context_);
  lws_context_destroy(context_);
}

void event_loop::Run() {
  stopping_ = false;
  // Signals may have arrived before the loop could be woken.
  HandleSignals();
  while (!stopping_) {
    loop_turns = loop_turns + 1;
    if (lws_service(context_, 0) < 0) break;
    HandleSignals();
  }
}

void event_loop::HandleSignals() {
  while (handled_stops_ < common::StopSignalCount()) {
    ++handled_stops_;
    if (on_stop_signal_) on_stop_signal_();
  }
  while (handled_reloads_ < common::ReloadSignalCount()) {
    ++handled_reloads_;
    if (on_reload_signal_) on_reload_signal_();
  }
}

void event_loop::Stop() {
  stopping_ = true;
  lws_cancel_service(context_);
}

void event_loop::SetStopSignalHandler(std::function<void()> action) {
  on_stop_signal_ = std::move(action);
  ReceiveSignals();
}

void event_loop::SetReloadSignalHandler(std::function<void()> action) {
  on_reload_signal_ = std::move(action);
  ReceiveSignals();
}

void event_loop::ReceiveSignals() {
  signal_context = context_;
  common::SetSignalWaker(WakeSignalLoop);
  common::CatchSignals();
}

common::timer_id event_loop::Schedule(common::duration delay,
                                      std::function<void()> action) {
  std::unique_ptr<timer> entry = std::make_unique<timer>();
  entry->scheduled.loop = this;
  entry->scheduled.id = next_timer_++;
  entry->action = std::move(action);
  // libwebsockets would not schedule a delay of zero at all.
  const int64_t micros = std::max<int64_t>(1, delay.count());
  entry->due_us = lws_now_usecs() + micros;
  Arm(entry.get(), micros);
  const common::timer_id id = entry->scheduled.id;
  timers_.emplace(id, std::move(entry));
  return id;
}

void event_loop::ScheduleCoarse(std::function<void()> action) {
  coarse_actions_.push_back(std::move(action));
  if (coarse_actions_.size() > 1) return;
  Schedule(kCoarsePeriod, [this] {
    // An action may schedule itself again.
    std::vector<std::function<void()>> due;
    due.swap(coarse_actions_);
    for (const std::function<void()>& each : due) each();
  });
}

void event_loop::StartWatchdog(int max_cpu_seconds) {
  max_seconds_in_turn = max_cpu_seconds;
  struct sigaction handler {};
  handler.sa_handler = HandleCpuSecond;
  handler.sa_flags = SA_RESTART;
  sigaction(SIGPROF, &handler, nullptr);
  const itimerval each_second{{1, 0}, {1, 0}};
  if (setitimer(ITIMER_PROF, &each_second, nullptr) == 0) return;
  common::Log(
      common::log_channel::kNet, common::log_level::kWarning,
      std::string("cannot watch the event loop: ") + std::strerror(errno));
}

void event_loop::Arm(timer* armed, int64_t micros) {
  lws_sul_schedule(
      context_, 0, &armed->scheduled.sul,
      [](lws_sorted_usec_list_t* sul) {
        const timer::slot* fired = lws_container_of(sul, timer::slot, sul);
        fired->loop->Fire(fired->id);
      },
      micros);
}

void event_loop::Cancel(common::timer_id id) {
  const auto found = timers_.find(id);
  if (found == timers_.end()) return;
  lws_sul_cancel(&found->second->scheduled.sul);
  timers_.erase(found);
}

void event_loop::Fire(common::timer_id id) {
  const auto found = timers_.find(id);
  if (found == timers_.end()) return;
  // libwebsockets runs timers before it reads sockets. A timeout that expired
  // while the loop was busy would ignore what has arrived in time.
  timer& due = *found->second;
  if (!due.held_back && lws_now_usecs() - due.due_us > kLateTimerMicros) {
    due.held_back = true;
    Arm(&due, 1);
    return;
  }
  // The action may schedule or cancel timers, this one included.
  const std::unique_ptr<timer> entry = std::move(found->second);
  timers_.erase(found);
  entry->action();
}

}  // namespace wisteriadale::net
