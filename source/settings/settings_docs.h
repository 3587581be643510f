#pragma once

#include <string>

namespace wisteriadale::settings {

/// @return docs/SETTINGS.md, out of the tables that the programs read
std::string SettingsPage();

/// @return docs/RESULT_CODES.md, out of the table of result codes
std::string ResultCodesPage();

}  // namespace wisteriadale::settings
