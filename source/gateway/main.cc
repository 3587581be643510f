#include "gateway/gateway_process.h"
#include "platform/platform_codec.h"
#include "settings/gateway_settings.h"
#include "settings/process_setup.h"

int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  const settings::startup_result start = settings::SetUpProcess(
      &argc, &argv, "wisteria-gateway",
      "Forwards HTTP requests by route, with the stages that they need.",
      settings::GatewaySettings(), platform::SettingsPathFromEnvironment());
  if (!start.settings) return start.exit_code;
  const std::optional<std::unique_ptr<gateway::gateway_process>> process =
      gateway::gateway_process::Create(*start.settings);
  if (!process) return settings::ExitCodeOfFailedStart("wisteria-gateway");
  (*process)->Run([] {
    return settings::LoadSettings(settings::GatewaySettings(),
                                  platform::SettingsPathFromEnvironment());
  });
  return settings::kExitOk;
}
