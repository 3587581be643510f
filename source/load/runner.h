#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "load/sample.h"
#include "net/http_client.h"

namespace wisteriadale::load {

/// Sends the requests of a plan at their scheduled times, independently of the
/// answers (open loop), and records the outcome of each.
class runner {
 public:
  /// The plan, loop and clock must outlive the runner.
  runner(const load_plan& plan, net::event_loop& loop, common::clock& clock);
  ~runner();

  /// Starts the run.
  /// @param on_end called once every request has ended and the stand-in's
  /// counters have been read
  void Start(std::function<void()> on_end);
  const run_record& record() const { return record_; }

 private:
  struct exchange;

  void StartLoad();
  /// Sends all requests that are due and schedules the next one.
  void SendDueRequests();
  void Send(size_t index);
  net::http_call RoutedCall(const exchange& current, size_t index);
  net::http_call DirectCall(const exchange& current, size_t index) const;
  void OnChunk(exchange* current, std::string_view data);
  void OnDone(const std::shared_ptr<exchange>& current,
              const net::http_result& result);
  /// Checks the answer and sets the outcome's result.
  void EvaluateAnswer(const exchange& current, const net::http_result& result,
                      sample* outcome) const;
  void ApplyFaultStep(const fault_step& step);
  /// Reads the stand-in's counters into the record, then calls `next`. The
  /// record gets the difference between the end and the start of the run.
  /// @param sign -1 at the start of the run, 1 at its end
  void FetchCounts(std::function<void()> next, int sign);
  double ElapsedMs() const;

  const load_plan& plan_;
  net::event_loop& loop_;
  common::clock& clock_;
  std::vector<arrival> arrivals_;
  size_t next_arrival_ = 0;
  size_t unfinished_ = 0;  ///< requests not sent or not ended yet
  common::time_point start_time_;
  run_record record_;
  std::string run_id_;  ///< random prefix of the idempotency keys
  std::function<void()> on_end_;
};

}  // namespace wisteriadale::load
