#include "ctl/document_diff.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::ctl {
namespace {

using nlohmann::json;

std::string TextAt(const json& document, const std::string& pointer) {
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
  // The library's patch names each place that differs.
  for (const json& step : json::diff(first, second)) {
    const std::string pointer = step.value("path", "");
    changes.push_back({pointer, TextAt(first, pointer),
                       step.contains("value") ? step["value"].dump() : ""});
  }
  return changes;
}

}  // namespace wisteriadale::ctl
