#pragma once

#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/random.h"

namespace wisteriadale::standin {

/// A change of an engine's prompt cache.
struct cache_event {
  uint64_t sequence = 0;  ///< counts every event, shown or not
  bool stored = true;     ///< false: evicted
  std::string prefix_key;
  common::time_point at;
};

/// The prompt prefixes that an engine holds, least recently used out first,
/// and the events of it: shown late, and some never.
class prefix_cache {
 public:
  prefix_cache(size_t entries, double gap_share, common::clock& clock,
               common::random_source& random)
      : entries_(entries),
        gap_share_(gap_share),
        clock_(clock),
        random_(random) {}

  /// Uses a prefix, storing it when it is new.
  /// @return whether it was held already; always false for an empty key
  bool Touch(const std::string& prefix_key);

  /// Forgets everything, as after a restart. No event tells of it.
  void Clear();

  /// @param after sequence of the last event that the caller has
  /// @param age   events younger than this are not shown yet
  std::vector<cache_event> Events(uint64_t after, common::duration age) const;

 private:
  void Publish(bool stored, const std::string& prefix_key);

  size_t entries_;
  double gap_share_;
  common::clock& clock_;
  common::random_source& random_;
  std::list<std::string> order_;  ///< most recently used first
  std::unordered_map<std::string, std::list<std::string>::iterator> held_;
  std::deque<cache_event> events_;
  uint64_t sequence_ = 0;
};

}  // namespace wisteriadale::standin
