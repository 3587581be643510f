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

constexpr int kMaxConnections = 16384;

template <typename value>
void Read(const json& from, const char* name, value* to) {
  *to = from.value(name, *to);
}

target_options ReadTarget(const json& from) {
  target_options options;
  Read(from, "id", &options.id);
  Read(from, "pool", &options.pool);
  options.kind = from.value("kind", "stage");
  Read(from, "data_centre", &options.data_centre);
  Read(from, "port", &options.port);
  Read(from, "tokens", &options.tokens);
  Read(from, "prefill_us", &options.prefill_us);
  Read(from, "cached_prefill", &options.cached_prefill);
  Read(from, "step_us", &options.step_us);
  Read(from, "step_sequence_us", &options.step_sequence_us);
  Read(from, "batch_limit", &options.batch_limit);
  Read(from, "cache_entries", &options.cache_entries);
  Read(from, "service_us", &options.service_us);
  Read(from, "parallel", &options.parallel);
  Read(from, "reports_load", &options.reports_load);
  Read(from, "load_lag_ms", &options.load_lag_ms);
  Read(from, "event_lag_ms", &options.event_lag_ms);
  Read(from, "event_gap_share", &options.event_gap_share);
  Read(from, "checks_fencing", &options.checks_fencing);
  Read(from, "checks_authority", &options.checks_authority);
  Read(from, "authority", &options.authority);
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
  const target_surroundings around{**loop,     clock,  random,
                                   operations, orders, weights};
  platform_options options;
  options.address = settings.Text(settings::kListenAddress);
  options.port = static_cast<uint16_t>(settings.Integer(settings::kListenPort));
  options.vm_list_lag_ms = settings.Integer(settings::kVmListLagMs);
  const std::optional<std::unique_ptr<platform_service>> platform =
      platform_service::Create(around, options);
  if (!platform) return settings::kExitFailed;
  (*platform)->SetVms(settings.Json(settings::kStandinVms));
  std::vector<std::unique_ptr<target_service>> targets;
  std::vector<target_service*> known;
  const json list = json::parse(settings.Json(settings::kStandinTargets));
  for (const json& entry : list) {
    std::optional<std::unique_ptr<target_service>> target =
        target_service::Create(around, options.address, ReadTarget(entry));
    if (!target) return settings::kExitFailed;
    known.push_back(target->get());
    targets.push_back(std::move(*target));
  }
  (*platform)->SetTargets(known);
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
