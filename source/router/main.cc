#include "router/router_process.h"
#include "settings/process_setup.h"
#include "settings/router_settings.h"

int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  const settings::startup_result start = settings::SetUpProcess(
      &argc, &argv, "wisteria-router",
      "Serves callers and operators and runs the stages of requests.",
      settings::RouterSettings());
  if (!start.settings) return start.exit_code;
  const std::optional<std::unique_ptr<router::router_process>> process =
      router::router_process::Create(*start.settings);
  if (!process) return settings::ExitCodeOfFailedStart("wisteria-router");
  (*process)->Run();
  return settings::kExitOk;
}
