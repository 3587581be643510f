#include "standin/prefix_cache.h"

namespace wisteriadale::standin {
namespace {

constexpr size_t kMaxEvents = 4096;

}  // namespace

bool prefix_cache::Touch(const std::string& prefix_key) {
  if (prefix_key.empty() || capacity_ == 0) return false;
  const auto found = index_.find(prefix_key);
  if (found != index_.end()) {
    lru_.splice(lru_.begin(), lru_, found->second);
    return true;
  }
  if (index_.size() == capacity_) {
    RecordEvent(false, lru_.back());
    index_.erase(lru_.back());
    lru_.pop_back();
  }
  lru_.push_front(prefix_key);
  index_[prefix_key] = lru_.begin();
  RecordEvent(true, prefix_key);
  return false;
}

void prefix_cache::Clear() {
  lru_.clear();
  index_.clear();
}

void prefix_cache::RecordEvent(bool stored, const std::string& prefix_key) {
  ++sequence_;
  if (random_.Uniform() < gap_share_) return;
  events_.push_back({sequence_, stored, prefix_key, clock_.Now()});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<cache_event> prefix_cache::Events(uint64_t after,
                                              common::duration age) const {
  std::vector<cache_event> visible;
  for (const cache_event& event : events_) {
    if (event.sequence > after && clock_.Now() - event.at >= age) {
      visible.push_back(event);
    }
  }
  return visible;
}

}  // namespace wisteriadale::standin
