#include "ctl/table_output.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wisteriadale::ctl {
namespace {

using json = nlohmann::ordered_json;

constexpr size_t kColumnGap = 2;

std::string CellText(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return value.dump();
}

bool IsObjectArray(const json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

std::string RenderArray(const json& rows) {
  std::vector<std::string> header;
  for (const json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(header.begin(), header.end(), name) == header.end()) {
        header.push_back(name);
      }
    }
  }
  std::vector<std::vector<std::string>> cells;
  cells.reserve(rows.size());
  for (const json& row : rows) {
    std::vector<std::string> line;
    line.reserve(header.size());
    for (const std::string& name : header) {
      line.push_back(row.contains(name) ? CellText(row[name]) : "-");
    }
    cells.push_back(line);
  }
  return RenderTable(header, cells);
}

void AppendLine(const std::vector<std::string>& cells,
                const std::vector<size_t>& widths, std::string* out) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    line.append(cells[i]);
    if (i + 1 == cells.size()) break;
    line.append(widths[i] + kColumnGap - cells[i].size(), ' ');
  }
  out->append(line).append("\n");
}

}  // namespace

std::string RenderTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  widths.reserve(header.size());
  for (const std::string& name : header) widths.push_back(name.size());
  for (const std::vector<std::string>& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  AppendLine(header, widths, &out);
  for (const std::vector<std::string>& row : rows) {
    AppendLine(row, widths, &out);
  }
  return out;
}

std::string RenderAnswer(std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded()) return std::string(body) + "\n";
  if (IsObjectArray(parsed)) return RenderArray(parsed);
  if (!parsed.is_object()) return parsed.dump() + "\n";
  std::vector<std::vector<std::string>> fields;
  std::string tables;
  for (const auto& [name, value] : parsed.items()) {
    if (IsObjectArray(value)) {
      tables.append(RenderArray(value));
    } else {
      fields.push_back({name, CellText(value)});
    }
  }
  if (fields.empty()) return tables;
  return RenderTable({"FIELD", "VALUE"}, fields) + tables;
}

}  // namespace wisteriadale::ctl
