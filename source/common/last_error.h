#pragma once

#include <string>
#include <string_view>

#include "common/result_code.h"

namespace wisteriadale::common {

/// Why the last operation that returned an empty std::optional did so.
struct error_info {
  result_code code = result_code::kOk;
  std::string text;
};

/// Records why the caller is about to return an empty std::optional. The reason
/// is kept for each thread until the next one is set.
void SetLastError(result_code code, std::string_view text);

/// @return the reason of the most recent failure on this thread
const error_info& LastError();

}  // namespace wisteriadale::common
