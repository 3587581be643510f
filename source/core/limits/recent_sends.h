#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// Counts the requests that were sent to each target in the last second.
class recent_sends {
 public:
  void Note(std::string_view target, common::time_point now);
  /// @return requests of the last second, and of up to a quarter more
  uint32_t Count(std::string_view target, common::time_point now) const;

 private:
  static constexpr size_t kBuckets = 5;
  struct counter {
    std::array<uint32_t, kBuckets> buckets{};
    int64_t latest = 0;  ///< number of the bucket that was used last
  };

  std::map<std::string, counter, std::less<>> counters_;
};

}  // namespace wisteriadale::core
