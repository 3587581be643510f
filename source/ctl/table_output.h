#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadale::ctl {

/// Renders rows as text, with each column padded to its widest cell.
/// @param header column names
/// @param rows   with at most as many cells as the header
std::string RenderTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows);

/// Renders a router's answer as text: an array of objects as a table, an object
/// as a table of its fields, followed by one table for each array of objects.
/// @param body JSON text; other text is returned with a line end
std::string RenderAnswer(std::string_view body);

}  // namespace wisteriadale::ctl
