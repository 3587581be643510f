#pragma once

#include <string>

namespace wisteriadale::settings {

/// @return text of docs/SETTINGS.md, from the tables that the programs use
std::string SettingsPage();

/// @return text of docs/RESULT_CODES.md, from the table of result codes
std::string ResultCodesPage();

}  // namespace wisteriadale::settings
