#pragma once

#include <list>

#include "standin/job_executor.h"
#include "standin/prefix_cache.h"

namespace wisteriadale::standin {

/// Simulates a model engine with continuous batching. Between two steps, queued
/// jobs join the batch, by descending priority and then in order of arrival, up
/// to batch_limit. A step generates one token for each sequence of the batch
/// and takes
///
///   slow_factor * (step_us + step_sequence_us * n + sum of p(j))
///
/// with n sequences, and p(j) for each job j that joined at this step:
/// prefill_us, or prefill_us * cached_prefill when its prefix is cached. The
/// time of a step is charged to its n sequences in equal parts.
class engine final : public job_executor {
 public:
  engine(const target_options& options, const target_faults& faults,
         target_counts& counts, prefix_cache& cache,
         common::timer_service& timers)
      : options_(options),
        faults_(faults),
        counts_(counts),
        cache_(cache),
        timers_(timers) {}

  void Submit(job work) override;
  void Remove(uint64_t id) override;
  size_t running() const override { return batch_.size(); }
  size_t queued() const override { return queue_.size(); }

 private:
  void StartStep();
  void FinishStep();
  /// Moves jobs from the queue to the batch until it is full.
  /// @return the total prefill time of these jobs, in microseconds
  double AdmitJobs();

  const target_options& options_;
  const target_faults& faults_;
  target_counts& counts_;
  prefix_cache& cache_;
  common::timer_service& timers_;
  std::list<job> queue_;
  std::list<job> batch_;
  bool step_in_progress_ = false;
};

}  // namespace wisteriadale::standin
