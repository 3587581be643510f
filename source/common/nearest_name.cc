#include "common/nearest_name.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace wisteriadale::common {
namespace {

/// @return the edit distance of two names
size_t Distance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t above = row[j];
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      row[j] = std::min({above + 1, row[j - 1] + 1, replaced});
      diagonal = above;
    }
  }
  return row[b.size()];
}

}  // namespace

std::string_view NearestName(std::string_view name,
                             std::span<const std::string_view> known) {
  std::string_view best;
  size_t best_distance = std::numeric_limits<size_t>::max();
  for (const std::string_view candidate : known) {
    const size_t distance = Distance(name, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  return best;
}

}  // namespace wisteriadale::common
