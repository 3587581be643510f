#include "core/limits/request_limit.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "common/decimal.h"

namespace wisteriadale::core {
request_limit ParseRequestLimit(std::span<const std::string_view> values) {
  if (values.empty()) return {};
  request_limit limit{limit_statement::kNamed, HUGE_VAL};
  for (const std::string_view text : values) {
    const std::optional<double> value = common::ParseDecimal(text);
    if (!value) return {limit_statement::kInvalid, 0};
    limit.per_second = std::min(limit.per_second, *value);
  }
  return limit;
}

}  // namespace wisteriadale::core
