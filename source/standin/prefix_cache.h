#pragma once

#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/random.h"

namespace wisteriadale::standin {

/// An insertion into an engine's prefix cache, or an eviction from it.
struct cache_event {
  uint64_t sequence = 0;  ///< increases by 1 with each event, lost ones too
  bool stored = true;     ///< false: evicted
  std::string prefix_key;
  common::time_point at;
};

/// An engine's cache of prompt prefixes with LRU eviction, and its event log.
/// Events are published with a delay, and a share of them is lost.
class prefix_cache {
 public:
  prefix_cache(size_t capacity, double gap_share, common::clock& clock,
               common::random_source& random)
      : capacity_(capacity),
        gap_share_(gap_share),
        clock_(clock),
        random_(random) {}

  /// Marks a prefix as most recently used, inserting it on a miss.
  /// @return whether it was a hit; always false for an empty key
  bool Touch(const std::string& prefix_key);

  /// Removes all prefixes, as a restart does, without recording events.
  void Clear();

  /// @param after sequence number of the last event that the caller has
  /// @param age   events younger than this are left out
  /// @return the later events, in order of their sequence numbers
  std::vector<cache_event> Events(uint64_t after, common::duration age) const;

 private:
  void RecordEvent(bool stored, const std::string& prefix_key);

  size_t capacity_;
  double gap_share_;
  common::clock& clock_;
  common::random_source& random_;
  std::list<std::string> lru_;  ///< most recently used first
  std::unordered_map<std::string, std::list<std::string>::iterator> index_;
  std::deque<cache_event> events_;
  uint64_t sequence_ = 0;
};

}  // namespace wisteriadale::standin
