#pragma once

#include <string>
#include <string_view>

#include "common/result_code.h"

namespace wisteriadale::common {

/// Why the last operation that returned an empty std::optional failed.
struct error_info {
  result_code code = result_code::kOk;
  std::string text;
};

/// Sets the last error of this thread, just before the caller returns an empty
/// std::optional. It is kept until the next one is set.
void SetLastError(result_code code, std::string_view text);

/// @return the error of the most recent failure on this thread
const error_info& LastError();

}  // namespace wisteriadale::common
