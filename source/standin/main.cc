#include <cstdio>
#include <nlohmann/json.hpp>

#include "common/last_reason.h"
#include "common/log.h"
#include "settings/process_setup.h"
#include "settings/standin_settings.h"
#include "standin/platform_service.h"
#include "standin/target_service.h"

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

target_options ReadTarget(const json& from) {
  target_options options;
  options.id = from.value("id", "");
  options.kind = from.value("kind", "stage");
  options.port = from.value("port", uint16_t{0});
  options.tokens = from.value("tokens", options.tokens);
  options.token_us = from.value("token_us", options.token_us);
  options.service_us = from.value("service_us", options.service_us);
  return options;
}

int Run(const settings::settings_document& settings) {
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  if (!loop) return settings::kExitFailed;
  const uint64_t seed =
      static_cast<uint64_t>(settings.Integer(settings::kRandomSeed));
  common::seeded_random random(seed == 0 ? common::SystemSeed() : seed);
  ledger operations;
  const std::string address = settings.Text(settings::kListenAddress);
  const std::optional<std::unique_ptr<platform_service>> platform =
      platform_service::Create(
          **loop, address,
          static_cast<uint16_t>(settings.Integer(settings::kListenPort)),
          random, operations);
  if (!platform) return settings::kExitFailed;
  (*platform)->SetVms(settings.Json(settings::kStandinVms));
  std::vector<std::unique_ptr<target_service>> targets;
  const json list = json::parse(settings.Json(settings::kStandinTargets));
  for (const json& entry : list) {
    std::optional<std::unique_ptr<target_service>> target =
        target_service::Create(**loop, address, ReadTarget(entry), operations);
    if (!target) return settings::kExitFailed;
    targets.push_back(std::move(*target));
  }
  (*loop)->OnStopSignal([&loop] { (*loop)->Stop(); });
  common::Log(common::log_channel::kMain, common::log_level::kInfo,
              "playing " + std::to_string(targets.size()) + " targets");
  (*loop)->Run();
  return settings::kExitOk;
}

}  // namespace
}  // namespace wisteriadale::standin

int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  const settings::process_start start = settings::StartProcess(
      &argc, &argv, "wisteria-standin",
      "Plays the platform and targets, for tests and measurements.",
      settings::StandinSettings());
  if (!start.settings) return start.exit_code;
  const int code = standin::Run(*start.settings);
  if (code != settings::kExitOk) {
    std::fprintf(stderr, "wisteria-standin: %s\n",
                 common::LastReason().text.c_str());
  }
  return code;
}
