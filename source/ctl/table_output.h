#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::ctl {

/// Renders rows for people: columns padded to their widest cell.
/// @param header names of the columns
/// @param rows   each with as many cells as the header
std::string RenderTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows);

/// Renders an answer of a router for people: arrays of objects as a table, an
/// object as one line a field.
/// @param body JSON text
std::string RenderAnswer(std::string_view body);

}  // namespace wisteriadale::ctl
