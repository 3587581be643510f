#include "standin/prefix_cache.h"

namespace wisteriadale::standin {
namespace {

constexpr size_t kMaxEvents = 4096;

}  // namespace

bool prefix_cache::Touch(const std::string& prefix_key) {
  if (prefix_key.empty() || entries_ == 0) return false;
  const auto found = held_.find(prefix_key);
  if (found != held_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return true;
  }
  if (held_.size() == entries_) {
    Publish(false, order_.back());
    held_.erase(order_.back());
    order_.pop_back();
  }
  order_.push_front(prefix_key);
  held_[prefix_key] = order_.begin();
  Publish(true, prefix_key);
  return false;
}

void prefix_cache::Clear() {
  order_.clear();
  held_.clear();
}

void prefix_cache::Publish(bool stored, const std::string& prefix_key) {
  ++sequence_;
  if (random_.Uniform() < gap_share_) return;
  events_.push_back({sequence_, stored, prefix_key, clock_.Now()});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<cache_event> prefix_cache::Events(uint64_t after,
                                              common::duration age) const {
  std::vector<cache_event> shown;
  for (const cache_event& event : events_) {
    if (event.sequence > after && clock_.Now() - event.at >= age) {
      shown.push_back(event);
    }
  }
  return shown;
}

}  // namespace wisteriadale::standin
