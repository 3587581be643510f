#include "ctl/check_routes.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/last_error.h"
#include "ctl/table_output.h"
#include "platform/route_decoder.h"

namespace wisteriadale::ctl {
namespace {

using core::finding_severity;
using nlohmann::json;

// What changes there are keys of callers, which are not to be shown.
constexpr std::string_view kSecretPointer = "/tenants";
constexpr char kHidden[] = "(not shown)";

}  // namespace

exit_code routes_report::ToExitCode() const {
  return errors == 0 ? exit_code::kOk : exit_code::kRefused;
}

std::string routes_report::ToJson() const {
  json list = json::array();
  for (const core::route_finding& each : findings) {
    list.push_back({{"severity", std::string(core::ToString(each.severity))},
                    {"entry", each.entry},
                    {"text", each.text}});
  }
  json differences = json::array();
  for (const document_change& each : changes) {
    differences.push_back({{"pointer", each.pointer},
                           {"before", each.before},
                           {"after", each.after}});
  }
  return json{{"errors", errors},
              {"findings", std::move(list)},
              {"changes", std::move(differences)}}
      .dump(2, ' ', false, json::error_handler_t::replace);
}

std::string routes_report::ToText() const {
  std::string text;
  std::vector<std::vector<std::string>> rows;
  for (const core::route_finding& each : findings) {
    rows.push_back(
        {std::string(core::ToString(each.severity)), each.entry, each.text});
  }
  if (!rows.empty()) text += RenderTable({"severity", "entry", "text"}, rows);
  rows.clear();
  for (const document_change& each : changes) {
    rows.push_back({each.pointer, each.before, each.after});
  }
  if (!rows.empty()) text += RenderTable({"changed", "before", "after"}, rows);
  return text.empty() ? "nothing found\n" : text;
}

routes_report CheckRoutesText(std::string_view text,
                              std::string_view in_force) {
  routes_report report;
  const std::optional<core::route_document> document =
      platform::DecodeRoutes(text);
  if (!document) {
    report.findings.push_back(
        {finding_severity::kError, "document",
         "gateways refuse it: " + common::LastError().text});
    report.errors = 1;
    return report;
  }
  const std::optional<core::route_document> current =
      in_force.empty() ? std::nullopt : platform::DecodeRoutes(in_force);
  if (!in_force.empty() && !current) {
    report.findings.push_back({finding_severity::kWarning, "document in force",
                               "cannot be read: " + common::LastError().text});
  }
  const std::vector<core::route_finding> found =
      core::CheckRoutes(*document, current ? &*current : nullptr);
  report.findings.insert(report.findings.end(), found.begin(), found.end());
  report.errors = static_cast<size_t>(
      std::count_if(report.findings.begin(), report.findings.end(),
                    [](const core::route_finding& each) {
                      return each.severity == finding_severity::kError;
                    }));
  if (!in_force.empty()) report.changes = DiffDocuments(in_force, text);
  for (document_change& each : report.changes) {
    if (!each.pointer.starts_with(kSecretPointer)) continue;
    if (!each.before.empty()) each.before = kHidden;
    if (!each.after.empty()) each.after = kHidden;
  }
  return report;
}

}  // namespace wisteriadale::ctl
