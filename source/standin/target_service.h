#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/random.h"
#include "net/http_server.h"
#include "standin/job_executor.h"
#include "standin/prefix_cache.h"
#include "standin/records.h"
#include "standin/weight_store.h"

namespace wisteriadale::standin {

/// Collaborators that the services of a stand-in process share.
struct target_dependencies {
  net::event_loop& loop;
  common::clock& clock;
  common::random_source& random;
  ledger& operations;
  order_log& orders;
  weight_store& weights;
};

/// Simulates one target over HTTP: an engine (engine.h), or a stage worker or a
/// plain service (server_pool.h). The service time of a call of the latter two
/// is service_us times a factor between 0.5 and 1.5, derived from a hash of its
/// input.
///
///   POST /run      runs a stage; answers newline-delimited JSON
///   POST /order    executes an order, answers when it is complete
///   GET  /load     a load report, load_lag_ms to twice that old
///   GET  /events   cache events after ?after=, delayed and with gaps
///   GET  /healthz  answers unless the target is down, crashed or silent
///
/// A target that is down or has crashed keeps listening, and closes each
/// connection without an answer.
class target_service {
 public:
  /// @return the service, listening, or nothing with LastError set
  static std::optional<std::unique_ptr<target_service>> Create(
      const target_dependencies& dependencies, const std::string& address,
      const target_options& options);
  ~target_service();

  /// Replaces the injected faults. Runs in progress are aborted if the target
  /// is now down.
  void SetFaults(const target_faults& faults);
  const target_options& options() const { return options_; }
  uint16_t port() const { return server_->port(); }
  const target_counts& counts() const { return counts_; }

 private:
  struct run;
  struct load {
    size_t running = 0;
    size_t queued = 0;
  };

  target_service(const target_dependencies& dependencies,
                 const target_options& options);

  void OnHttp(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);
  void OnRun(const net::http_request& request,
             const std::shared_ptr<net::http_responder>& responder);
  void OnOrder(const net::http_request& request,
               const std::shared_ptr<net::http_responder>& responder);
  void ExecuteOrder(const order_entry& order,
                    const std::shared_ptr<net::http_responder>& responder);
  void SendEvents(const net::http_request& request,
                  net::http_responder* responder) const;
  void StartJob(const std::shared_ptr<run>& current, bool deferrable,
                int priority);
  void WriteToken(const std::shared_ptr<run>& current);
  void FinishRun(const std::shared_ptr<run>& current);
  /// Aborts all runs in progress and clears the prefix cache.
  void AbortRuns();
  void Crash();
  /// Publishes the previous load sample and takes the next one, every
  /// load_lag_ms.
  void PublishLoad();

  target_dependencies dependencies_;
  target_options options_;
  target_faults faults_;
  target_counts counts_;
  prefix_cache cache_;
  std::unique_ptr<job_executor> executor_;
  std::unordered_map<uint64_t, std::shared_ptr<run>> runs_;
  uint64_t next_run_id_ = 1;
  bool crashed_ = false;
  load sampled_load_;
  load published_load_;
  uint64_t highest_fencing_number_ = 0;
  std::set<std::string> models_;
  std::string role_;
  std::unique_ptr<net::http_server> server_;
};

/// @return the text that an engine generates for an input, in tokens that each
/// end with a space. It is the same on every target, so a stream can be resumed
/// on another one.
std::string GeneratedText(std::string_view input, uint32_t tokens);

/// @return the digest by which results of stages and plain services identify
/// their input
std::string InputDigest(std::string_view input);

}  // namespace wisteriadale::standin
