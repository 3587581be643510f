#include "settings/settings_docs.h"

#include <sstream>

#include "common/result_code.h"
#include "settings/agent_settings.h"
#include "settings/gateway_settings.h"
#include "settings/router_settings.h"
#include "settings/standin_settings.h"

namespace wisteriadale::settings {

std::string SettingsPage() {
  std::ostringstream page;
  page << "# Settings\n\n"
          "Written by `wisteria-docs`; a test holds it equal to the tables in "
          "`source/settings`.\n"
          "Bounds of a text are those of its length. `--check` reports every "
          "fault of a file at once.\n";
  page << "\n## wisteria-gateway\n\n" << SettingsMarkdown(GatewaySettings());
  page << "\n## wisteria-router\n\n" << SettingsMarkdown(RouterSettings());
  page << "\n## wisteria-agent\n\n" << SettingsMarkdown(AgentSettings());
  page << "\n## wisteria-standin\n\n" << SettingsMarkdown(StandinSettings());
  return page.str();
}

std::string ResultCodesPage() {
  std::ostringstream page;
  page << "# Result codes\n\n"
          "Written by `wisteria-docs`; a test holds it equal to "
          "`source/common/result_code.cc`.\n"
          "A retryable code comes with `retry_after_ms`.\n\n"
          "| code | name | HTTP status | retryable | meaning |\n"
          "|---|---|---|---|---|\n";
  for (const common::result_code_info& info : common::ResultCodes()) {
    page << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | "
         << info.http_status << " | " << (info.retryable ? "yes" : "no")
         << " | " << info.meaning << " |\n";
  }
  return page.str();
}

}  // namespace wisteriadale::settings
