#include "ctl/document_diff.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::ctl {
namespace {

using nlohmann::json;

/// @return the value at a pointer as JSON text; empty when there is none
std::string JsonTextAt(const json& document, const std::string& pointer) {
  const json::json_pointer at(pointer);
  return document.contains(at) ? document[at].dump() : std::string();
}

}  // namespace

std::vector<document_change> DiffDocuments(std::string_view before,
                                           std::string_view after) {
  const json first = json::parse(before, nullptr, false);
  const json second = json::parse(after, nullptr, false);
  std::vector<document_change> changes;
  if (first.is_discarded() || second.is_discarded()) return changes;
  // The JSON patch has one operation for each value that differs.
  for (const json& operation : json::diff(first, second)) {
    const std::string pointer = operation.value("path", "");
    changes.push_back(
        {pointer, JsonTextAt(first, pointer),
         operation.contains("value") ? operation["value"].dump() : ""});
  }
  return changes;
}

}  // namespace wisteriadale::ctl
