#include "standin/server_pool.h"

#include <algorithm>

namespace wisteriadale::standin {

void server_pool::Submit(job work) {
  queue_.push_back(std::move(work));
  StartNext();
}

void server_pool::Remove(uint64_t id) {
  const auto has_id = [id](const job& work) { return work.id == id; };
  std::erase_if(queue_, has_id);
  const auto found = std::find_if(running_.begin(), running_.end(), has_id);
  if (found == running_.end()) return;
  counts_.wasted_us += found->spent_us;
  running_.erase(found);
  StartNext();
}

void server_pool::StartNext() {
  while (running_.size() < options_.parallel && !queue_.empty()) {
    running_.splice(running_.end(), queue_, queue_.begin());
    job& work = running_.back();
    const double time_us =
        faults_.slow_factor * static_cast<double>(work.service.count());
    work.spent_us = time_us / options_.parallel;
    counts_.busy_us += work.spent_us;
    timers_.Schedule(common::duration(static_cast<int64_t>(time_us)),
                     [this, id = work.id] { FinishJob(id); });
  }
}

void server_pool::FinishJob(uint64_t id) {
  const auto found =
      std::find_if(running_.begin(), running_.end(),
                   [id](const job& work) { return work.id == id; });
  if (found == running_.end()) return;
  const job finished_job = std::move(*found);
  running_.erase(found);
  finished_job.on_end();
  StartNext();
}

}  // namespace wisteriadale::standin
