#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "common/last_error.h"
#include "load/runner.h"
#include "load/summary.h"

DEFINE_string(plan, "", "JSON plan of the load");
DEFINE_uint64(seed, 0, "seed of the arrival times; 0: the plan's");
DEFINE_double(rate_factor, 1, "multiplies the rates of all phases");
DEFINE_string(output, "", "file for the JSON summary; empty: standard output");
DEFINE_string(html, "", "file for the HTML report; empty: none");

namespace wisteriadale::load {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadPlan = 2;
constexpr int kExitForeignAnswer = 3;
constexpr int kMaxConnections = 16384;

std::optional<load_plan> ReadPlan() {
  std::ifstream file(FLAGS_plan);
  std::stringstream text;
  text << file.rdbuf();
  std::optional<load_plan> plan = ParsePlan(text.str());
  if (!plan) return std::nullopt;
  if (FLAGS_seed != 0) plan->seed = FLAGS_seed;
  for (phase& part : plan->phases) part.rate *= FLAGS_rate_factor;
  return plan;
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  return file.good();
}

/// @return the command line that reproduces the run
std::string Command(const load_plan& plan) {
  std::ostringstream text;
  text << "wisteria-load --plan=" << FLAGS_plan << " --seed=" << plan.seed
       << " --rate_factor=" << FLAGS_rate_factor;
  return text.str();
}

bool HasForeignAnswer(const run_record& record) {
  for (const sample& outcome : record.samples) {
    if (outcome.foreign) return true;
  }
  return false;
}

int Run() {
  const std::optional<load_plan> plan = ReadPlan();
  if (!plan) {
    std::fprintf(stderr, "wisteria-load: %s: %s\n", FLAGS_plan.c_str(),
                 common::LastError().text.c_str());
    return kExitBadPlan;
  }
  net::event_loop::options options;
  options.max_connections = kMaxConnections;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create(options);
  if (!loop) return kExitFailed;
  common::system_clock clock;
  runner run(*plan, **loop, clock);
  run.Start([&loop] { (*loop)->Stop(); });
  (*loop)->Run();
  const std::string summary = SummaryJson(*plan, run.record(), Command(*plan));
  if (FLAGS_output.empty()) std::puts(summary.c_str());
  const bool written =
      (FLAGS_output.empty() || WriteFile(FLAGS_output, summary)) &&
      (FLAGS_html.empty() || WriteFile(FLAGS_html, ReportHtml(summary)));
  if (!written) {
    std::fprintf(stderr, "wisteria-load: cannot write the report\n");
    return kExitFailed;
  }
  return HasForeignAnswer(run.record()) ? kExitForeignAnswer : kExitOk;
}

}  // namespace
}  // namespace wisteriadale::load

int main(int argc, char** argv) {
  gflags::SetVersionString(WISTERIADALE_VERSION);
  gflags::SetUsageMessage(
      "sends the open-loop load of a plan and reports the results\n\n"
      "  wisteria-load --plan=FILE [--seed=N] [--output=FILE] [--html=FILE]\n\n"
      "exit codes: 0 done, 1 failed, 2 bad plan, 3 a request got the "
      "answer to another");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wisteriadale::load::Run();
}
