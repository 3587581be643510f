#pragma once

#include <string>
#include <string_view>

#include "common/result_code.h"

namespace wisteriadale::common {

/// Why the last operation that returned an empty std::optional did so.
struct reason {
  result_code code = result_code::kOk;
  std::string text;
};

/// Records why the caller is about to return an empty std::optional. The reason
/// is kept for each thread until the next one is set.
void SetLastReason(result_code code, std::string_view text);

/// @return the reason of the most recent failure on this thread
const reason& LastReason();

}  // namespace wisteriadale::common
