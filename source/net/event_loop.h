#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "net/receive_buffers.h"

struct lws_context;
struct lws_vhost;

/// HTTP, message channels and the event loop, built on libwebsockets.
namespace wisteriadale::net {

/// Paths of the TLS files; all empty means plain TCP.
struct tls_options {
  std::string certificate_file;
  std::string key_file;
  std::string ca_file;  ///< on servers, requires client certificates
  bool enabled() const { return !certificate_file.empty() || !ca_file.empty(); }
};

/// The single event loop of a process. All callbacks of the process run on the
/// thread that calls Run.
class event_loop final : public common::timer_service {
 public:
  struct options {
    int max_connections = 4096;
    tls_options client_tls;  ///< used by outgoing connections
    /// Time limit from the start of a dial to the end of a channel's handshake.
    common::duration dial_timeout = std::chrono::milliseconds(1000);
  };

  /// Many times the longest turn; some 20 s on a tenth of a core.
  static constexpr int kMaxTurnCpuSeconds = 2;

  /// @return the loop, or nothing with LastError set
  static std::optional<std::unique_ptr<event_loop>> Create(
      const options& chosen);
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  static constexpr common::duration kCoarsePeriod =
      std::chrono::milliseconds(250);

  /// Runs until Stop is called during the run. May be called again afterwards.
  void Run();
  void Stop();

  /// Sets the action that the loop runs for each SIGTERM or SIGINT, also for
  /// those that common::CatchSignals caught before. Calls it as well.
  void SetStopSignalHandler(std::function<void()> action);
  /// Sets the action that the loop runs for each SIGHUP, which would otherwise
  /// end the process.
  void SetReloadSignalHandler(std::function<void()> action);

  /// A timer that is late runs after the sockets that are readable then.
  /// Aborts the process if one turn of the loop uses that much processor time:
  /// no timer of the loop can notice a call that does not return. Waiting, a
  /// slow VM and a suspended one use none.
  /// @param max_cpu_seconds at least 1
  void StartWatchdog(int max_cpu_seconds = kMaxTurnCpuSeconds);

  common::timer_id Schedule(common::duration delay,
                            std::function<void()> action) override;
  void Cancel(common::timer_id id) override;
  /// Runs an action within kCoarsePeriod. All such actions share one timer, so
  /// that many of them do not wake the process many times.
  void ScheduleCoarse(std::function<void()> action);

  lws_context* context() const { return context_; }
  /// @return the receive buffers of the connections of this loop
  receive_buffers& buffers() { return buffers_; }
  /// @return the vhost that outgoing connections belong to
  lws_vhost* client_vhost() const { return client_vhost_; }
  bool client_tls() const { return client_tls_; }
  common::duration dial_timeout() const { return dial_timeout_; }

 private:
  struct timer;

  event_loop() = default;
  /// Starts or restarts a timer.
  void Arm(timer* armed, int64_t micros);
  void Fire(common::timer_id id);
  /// Makes this loop the one that signals wake.
  void ReceiveSignals();
  /// Runs the actions for the signals that have arrived since the last call.
  void HandleSignals();

  lws_context* context_ = nullptr;
  receive_buffers buffers_;
  lws_vhost* client_vhost_ = nullptr;
  bool client_tls_ = false;
  common::duration dial_timeout_{};
  bool stopping_ = false;
  std::vector<std::function<void()>> coarse_actions_;
  int handled_stops_ = 0;
  int handled_reloads_ = 0;
  common::timer_id next_timer_ = 1;
  std::unordered_map<common::timer_id, std::unique_ptr<timer>> timers_;
  std::function<void()> on_stop_signal_;
  std::function<void()> on_reload_signal_;
};

}  // namespace wisteriadale::net
