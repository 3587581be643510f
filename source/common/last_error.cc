#include "common/last_error.h"

namespace wisteriadale::common {
namespace {

error_info& Slot() {
  thread_local error_info slot;
  return slot;
}

}  // namespace

void SetLastError(result_code code, std::string_view text) {
  Slot().code = code;
  Slot().text = text;
}

const error_info& LastError() { return Slot(); }

}  // namespace wisteriadale::common
