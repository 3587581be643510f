#pragma once

#include <list>

#include "standin/job_executor.h"

namespace wisteriadale::standin {

/// Simulates a stage worker or a plain service. Up to `parallel` calls run
/// concurrently; further calls wait in a FIFO queue. A call takes slow_factor
/// times its service time, and is charged that time divided by `parallel`.
class server_pool final : public job_executor {
 public:
  server_pool(const target_options& options, const target_faults& faults,
              target_counts& counts, common::timer_service& timers)
      : options_(options), faults_(faults), counts_(counts), timers_(timers) {}

  void Submit(job work) override;
  void Remove(uint64_t id) override;
  size_t running() const override { return running_.size(); }
  size_t queued() const override { return queue_.size(); }

 private:
  void StartNext();
  void FinishJob(uint64_t id);

  const target_options& options_;
  const target_faults& faults_;
  target_counts& counts_;
  common::timer_service& timers_;
  std::list<job> queue_;
  std::list<job> running_;
};

}  // namespace wisteriadale::standin
