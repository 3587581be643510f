#include "standin/engine.h"

#include <algorithm>
#include <vector>

namespace wisteriadale::standin {

void engine::Submit(job work) {
  const auto position = std::find_if(
      queue_.begin(), queue_.end(),
      [&work](const job& other) { return other.priority < work.priority; });
  queue_.insert(position, std::move(work));
  if (!step_in_progress_) StartStep();
}

void engine::Remove(uint64_t id) {
  const auto has_id = [id](const job& work) { return work.id == id; };
  std::erase_if(queue_, has_id);
  const auto found = std::find_if(batch_.begin(), batch_.end(), has_id);
  if (found == batch_.end()) return;
  counts_.wasted_us += found->spent_us;
  batch_.erase(found);
}

double engine::AdmitJobs() {
  double prefill_us = 0;
  while (batch_.size() < options_.batch_limit && !queue_.empty()) {
    batch_.splice(batch_.end(), queue_, queue_.begin());
    const bool cached = cache_.Touch(batch_.back().prefix_key);
    if (cached) ++counts_.cache_hits;
    prefill_us += static_cast<double>(options_.prefill_us) *
                  (cached ? options_.cached_prefill : 1);
  }
  return prefill_us;
}

void engine::StartStep() {
  const double prefill_us = AdmitJobs();
  step_in_progress_ = !batch_.empty();
  if (!step_in_progress_) return;
  const double sequences = static_cast<double>(batch_.size());
  const double step_us =
      faults_.slow_factor *
      (static_cast<double>(options_.step_us) +
       static_cast<double>(options_.step_sequence_us) * sequences + prefill_us);
  counts_.busy_us += step_us;
  for (job& work : batch_) work.spent_us += step_us / sequences;
  timers_.Schedule(common::duration(static_cast<int64_t>(step_us)),
                   [this] { FinishStep(); });
}

void engine::FinishStep() {
  std::vector<uint64_t> ids;
  for (const job& work : batch_) ids.push_back(work.id);
  for (const uint64_t id : ids) {
    // A callback may remove any job of the batch, so look the job up by id.
    const auto found =
        std::find_if(batch_.begin(), batch_.end(),
                     [id](const job& work) { return work.id == id; });
    if (found == batch_.end()) continue;
    if (found->steps > 1) {
      --found->steps;
      const std::function<void()> on_step = found->on_step;
      on_step();
      continue;
    }
    const job finished_job = std::move(*found);
    batch_.erase(found);
    finished_job.on_step();
    finished_job.on_end();
  }
  StartStep();
}

}  // namespace wisteriadale::standin
