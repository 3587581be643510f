#include "standin/engine.h"

#include <algorithm>
#include <vector>

namespace wisteriadale::standin {

void engine::Submit(job work) {
  const auto place = std::find_if(
      queue_.begin(), queue_.end(),
      [&work](const job& other) { return other.priority < work.priority; });
  queue_.insert(place, std::move(work));
  if (!stepping_) StartStep();
}

void engine::Remove(uint64_t id) {
  const auto has_id = [id](const job& work) { return work.id == id; };
  std::erase_if(queue_, has_id);
  const auto found = std::find_if(batch_.begin(), batch_.end(), has_id);
  if (found == batch_.end()) return;
  counts_.wasted_us += found->spent_us;
  batch_.erase(found);
}

double engine::Join() {
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
  const double prefill_us = Join();
  stepping_ = !batch_.empty();
  if (!stepping_) return;
  const double sequences = static_cast<double>(batch_.size());
  const double step_us =
      faults_.slow_factor *
      (static_cast<double>(options_.step_us) +
       static_cast<double>(options_.step_sequence_us) * sequences + prefill_us);
  counts_.busy_us += step_us;
  for (job& work : batch_) work.spent_us += step_us / sequences;
  timers_.Schedule(common::duration(static_cast<int64_t>(step_us)),
                   [this] { EndStep(); });
}

void engine::EndStep() {
  std::vector<uint64_t> ids;
  for (const job& work : batch_) ids.push_back(work.id);
  for (const uint64_t id : ids) {
    // What a token leads to may remove any job.
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
    const job ended = std::move(*found);
    batch_.erase(found);
    ended.on_step();
    ended.on_end();
  }
  StartStep();
}

}  // namespace wisteriadale::standin
