#pragma once

#include <list>

#include "standin/worker.h"

namespace wisteriadale::standin {

/// A stage worker or a plain service: `parallel` calls at one time, the others
/// wait in order of arrival. A call takes slow_factor times its service time,
/// and is charged a `parallel`-th of that.
class server_pool final : public worker {
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
  void End(uint64_t id);

  const target_options& options_;
  const target_faults& faults_;
  target_counts& counts_;
  common::timer_service& timers_;
  std::list<job> queue_;
  std::list<job> running_;
};

}  // namespace wisteriadale::standin
