#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/random.h"
#include "net/http_server.h"
#include "standin/prefix_cache.h"
#include "standin/records.h"
#include "standin/weight_store.h"
#include "standin/worker.h"

namespace wisteriadale::standin {

/// What the targets of a stand-in share.
struct target_surroundings {
  net::event_loop& loop;
  common::clock& clock;
  common::random_source& random;
  ledger& operations;
  order_log& orders;
  weight_store& weights;
};

/// Plays one target over HTTP: an engine (engine.h), or a stage worker or a
/// plain service (server_pool.h). A call of a pool takes service_us times a
/// factor between 0.5 and 1.5, fixed by its input.
///
///   POST /run      runs a stage; answers lines of JSON
///   POST /order    takes an order, answers when it is carried out
///   GET  /load     a load report, load_lag_ms to twice that old
///   GET  /events   cache events after ?after=, late and with gaps
///   GET  /healthz  answers while the target is not down
///
/// A target that is down or has crashed still listens, and drops each
/// connection without an answer.
class target_service {
 public:
  static std::optional<std::unique_ptr<target_service>> Create(
      const target_surroundings& around, const std::string& address,
      const target_options& options);
  ~target_service();

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

  target_service(const target_surroundings& around,
                 const target_options& options);

  void OnHttp(const net::http_request& request,
              const std::shared_ptr<net::http_responder>& responder);
  void OnRun(const net::http_request& request,
             const std::shared_ptr<net::http_responder>& responder);
  void OnOrder(const net::http_request& request,
               const std::shared_ptr<net::http_responder>& responder);
  void CarryOut(const order_entry& order,
                const std::shared_ptr<net::http_responder>& responder);
  void SendEvents(const net::http_request& request,
                  net::http_responder* responder) const;
  void StartJob(const std::shared_ptr<run>& current, bool deferrable,
                int priority);
  void WriteToken(const std::shared_ptr<run>& current);
  void FinishRun(const std::shared_ptr<run>& current);
  void DropRuns();
  void Crash();
  void PublishLoad();

  target_surroundings around_;
  target_options options_;
  target_faults faults_;
  target_counts counts_;
  prefix_cache cache_;
  std::unique_ptr<worker> worker_;
  std::unordered_map<uint64_t, std::shared_ptr<run>> runs_;
  uint64_t next_run_ = 1;
  bool crashed_ = false;
  load sampled_;
  load published_;
  uint64_t highest_fencing_number_ = 0;
  std::set<std::string> models_;
  std::string role_;
  std::unique_ptr<net::http_server> server_;
};

/// @return the text that an engine generates for an input, the same on every
/// target, so that a stream can be continued elsewhere
std::string GeneratedText(std::string_view input, uint32_t tokens);

/// @return the mark of an input in the results of stages and plain services
std::string InputMark(std::string_view input);

}  // namespace wisteriadale::standin
