#include "core/limits/recent_sends.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

constexpr common::duration kBucketLength = std::chrono::milliseconds(250);
// Targets that leave are not reported here: their counters go when there are
// more than this.
constexpr size_t kMaxCounters = 8192;

int64_t BucketOf(common::time_point time) {
  return time.time_since_epoch() / kBucketLength;
}

}  // namespace

void recent_sends::Note(std::string_view target, common::time_point now) {
  const int64_t bucket = BucketOf(now);
  auto found = counters_.find(target);
  if (found == counters_.end()) {
    if (counters_.size() >= kMaxCounters) {
      std::erase_if(counters_, [bucket](const auto& each) {
        return bucket - each.second.latest >= int64_t{kBuckets};
      });
    }
    found = counters_.emplace(std::string(target), counter{{}, bucket}).first;
  }
  counter& known = found->second;
  const int64_t passed = std::min(bucket - known.latest, int64_t{kBuckets});
  for (int64_t i = 1; i <= passed; ++i) {
    known.buckets[static_cast<size_t>(known.latest + i) % kBuckets] = 0;
  }
  if (passed == int64_t{kBuckets}) known.buckets = {};
  known.latest = bucket;
  ++known.buckets[static_cast<size_t>(bucket) % kBuckets];
}

uint32_t recent_sends::Count(std::string_view target,
                             common::time_point now) const {
  const auto found = counters_.find(target);
  if (found == counters_.end()) return 0;
  const int64_t passed = BucketOf(now) - found->second.latest;
  uint32_t count = 0;
  for (int64_t i = passed; i < int64_t{kBuckets}; ++i) {
    const int64_t bucket = found->second.latest - (i - passed);
    if (bucket < 0) break;
    count += found->second.buckets[static_cast<size_t>(bucket) % kBuckets];
  }
  return count;
}

}  // namespace wisteriadale::core
