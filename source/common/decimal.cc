#include "common/decimal.h"

#include <charconv>
#include <cmath>

namespace wisteriadale::common {

std::optional<double> ParseDecimal(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return std::nullopt;
  text = text.substr(first, text.find_last_not_of(" \t") - first + 1);
  double value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if (!std::isfinite(value) || std::signbit(value)) return std::nullopt;
  return value;
}

}  // namespace wisteriadale::common
