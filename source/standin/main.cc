#include <cstdio>
#include <nlohmann/json.hpp>

#include "common/last_error.h"
#include "common/log.h"
#include "settings/process_setup.h"
#include "settings/standin_settings.h"
#include "standin/platform_service.h"
#include "standin/target_service.h"

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

constexpr int kMaxConnections = 16384;

/// Sets a value from a member of the object; keeps it if there is none.
template <typename value>
void ReadIfPresent(const json& from, const char* name, value* to) {
  *to = from.value(name, *to);
}

target_options ReadTarget(const json& from) {
  target_options options;
  ReadIfPresent(from, "id", &options.id);
  ReadIfPresent(from, "pool", &options.pool);
  options.kind = from.value("kind", "stage");
  ReadIfPresent(from, "data_centre", &options.data_centre);
  ReadIfPresent(from, "port", &options.port);
  ReadIfPresent(from, "tokens", &options.tokens);
  ReadIfPresent(from, "prefill_us", &options.prefill_us);
  ReadIfPresent(from, "cached_prefill", &options.cached_prefill);
  ReadIfPresent(from, "step_us", &options.step_us);
  ReadIfPresent(from, "step_sequence_us", &options.step_sequence_us);
  ReadIfPresent(from, "batch_limit", &options.batch_limit);
  ReadIfPresent(from, "cache_entries", &options.cache_entries);
  ReadIfPresent(from, "service_us", &options.service_us);
  ReadIfPresent(from, "parallel", &options.parallel);
  ReadIfPresent(from, "reports_load", &options.reports_load);
  ReadIfPresent(from, "load_lag_ms", &options.load_lag_ms);
  ReadIfPresent(from, "event_lag_ms", &options.event_lag_ms);
  ReadIfPresent(from, "event_gap_share", &options.event_gap_share);
  ReadIfPresent(from, "checks_fencing", &options.checks_fencing);
  ReadIfPresent(from, "checks_authority", &options.checks_authority);
  ReadIfPresent(from, "authority", &options.authority);
  return options;
}

int Run(const settings::settings_document& settings) {
  net::event_loop::options loop_options;
  loop_options.max_connections = kMaxConnections;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create(loop_options);
  if (!loop) return settings::kExitFailed;
  const uint64_t seed =
      static_cast<uint64_t>(settings.Integer(settings::kRandomSeed));
  common::seeded_random random(seed == 0 ? common::SystemSeed() : seed);
  common::system_clock clock;
  ledger operations;
  order_log orders;
  weight_store weights(clock, **loop, settings.Number(settings::kWeightBytes),
                       settings.Number(settings::kWeightBytesPerSecond));
  const target_dependencies dependencies{**loop,     clock,  random,
                                         operations, orders, weights};
  platform_options options;
  options.address = settings.Text(settings::kListenAddress);
  options.port = static_cast<uint16_t>(settings.Integer(settings::kListenPort));
  options.vm_list_lag_ms = settings.Integer(settings::kVmListLagMs);
  const std::optional<std::unique_ptr<platform_service>> platform =
      platform_service::Create(dependencies, options);
  if (!platform) return settings::kExitFailed;
  (*platform)->SetVms(settings.Json(settings::kStandinVms));
  std::vector<std::unique_ptr<target_service>> targets;
  std::vector<target_service*> target_pointers;
  const json list = json::parse(settings.Json(settings::kStandinTargets));
  for (const json& entry : list) {
    std::optional<std::unique_ptr<target_service>> target =
        target_service::Create(dependencies, options.address,
                               ReadTarget(entry));
    if (!target) return settings::kExitFailed;
    target_pointers.push_back(target->get());
    targets.push_back(std::move(*target));
  }
  (*platform)->SetTargets(target_pointers);
  (*loop)->SetStopSignalHandler([&loop] { (*loop)->Stop(); });
  common::Log(common::log_channel::kMain, common::log_level::kInfo,
              "simulating " + std::to_string(targets.size()) + " targets");
  (*loop)->Run();
  return settings::kExitOk;
}

}  // namespace
}  // namespace wisteriadale::standin

int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  const settings::startup_result start = settings::SetUpProcess(
      &argc, &argv, "wisteria-standin",
      "Simulates the platform and targets, for tests and measurements.",
      settings::StandinSettings());
  if (!start.settings) return start.exit_code;
  const int code = standin::Run(*start.settings);
  if (code != settings::kExitOk) {
    std::fprintf(stderr, "wisteria-standin: %s\n",
                 common::LastError().text.c_str());
  }
  return code;
}
