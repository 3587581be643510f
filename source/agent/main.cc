#include "agent/agent_process.h"
#include "settings/agent_settings.h"
#include "settings/process_setup.h"

int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  const settings::startup_result start =
      settings::SetUpProcess(&argc, &argv, "wisteria-agent",
                             "Runs beside a target and is the only way to it.",
                             settings::AgentSettings());
  if (!start.settings) return start.exit_code;
  const std::optional<std::unique_ptr<agent::agent_process>> process =
      agent::agent_process::Create(*start.settings);
  if (!process) return settings::ExitCodeOfFailedStart("wisteria-agent");
  (*process)->Run();
  return settings::kExitOk;
}
