#include "common/last_reason.h"

namespace wisteriadale::common {
namespace {

reason& Slot() {
  thread_local reason slot;
  return slot;
}

}  // namespace

void SetLastReason(result_code code, std::string_view text) {
  Slot().code = code;
  Slot().text = text;
}

const reason& LastReason() { return Slot(); }

}  // namespace wisteriadale::common
