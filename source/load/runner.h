#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "load/sample.h"
#include "net/http_client.h"

namespace wisteriadale::load {

/// Sends the requests of a plan at their times, whatever the answers do, and
/// records what became of each.
class runner {
 public:
  runner(const load_plan& plan, net::event_loop& loop, common::clock& clock);
  ~runner();

  /// @param on_end called once every request has ended
  void Start(std::function<void()> on_end);
  const run_record& record() const { return record_; }

 private:
  struct exchange;

  void Begin();
  void SendDue();
  void Send(size_t index);
  net::http_call RoutedCall(const exchange& current, size_t index);
  net::http_call DirectCall(const exchange& current, size_t index) const;
  void OnBytes(exchange* current, std::string_view data);
  void OnDone(const std::shared_ptr<exchange>& current,
              const net::http_result& result);
  void Judge(const exchange& current, const net::http_result& result,
             sample* ended) const;
  void RunStep(const fault_step& step);
  void FetchCounts(std::function<void()> next, int sign);
  double ElapsedMs() const;

  const load_plan& plan_;
  net::event_loop& loop_;
  common::clock& clock_;
  std::vector<arrival> arrivals_;
  size_t next_ = 0;
  size_t open_ = 0;
  common::time_point started_;
  run_record record_;
  std::string run_id_;
  std::function<void()> on_end_;
};

}  // namespace wisteriadale::load
