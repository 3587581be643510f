#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "common/last_error.h"
#include "unit_tests/platform_standin/broken_target.h"
#include "unit_tests/platform_standin/row_service.h"
#include "unit_tests/platform_standin/simulated_target.h"

namespace wisteriadale::platform_standin {
namespace {

using nlohmann::json;

/// The simulated store and targets, and the interface by which tests control
/// them, in one process.
///
///   POST /control/rows     {table, key, value}: null removes the row
///   POST /control/store    store_faults
///   POST /control/copy     {restore}: takes a copy of the store, or restores
///   it POST /control/targets  {id or service, how, ...}: target_behaviour POST
///   /control/broken   {id, framing, at, ...}: response_break GET /control/runs
///   the recorded calls to the targets, target_run each GET  /control/rejected
///   the calls that they did not run GET  /control/arrivals the arrival times
///   of calls, in ms, by target GET  /control/store    {calls}
class standin {
 public:
  standin(net::event_loop& loop, common::clock& clock)
      : loop_(loop), clock_(clock), rows_(loop, clock) {}

  bool Listen(const json& settings) {
    for (const json& entry : settings.value("targets", json::array())) {
      targets_.push_back(std::make_unique<simulated_target>(
          loop_, clock_, entry.value("id", ""), entry.value("service", ""),
          runs_));
      if (!targets_.back()->Listen(entry.value("port", uint16_t{0}))) {
        return false;
      }
    }
    for (const json& entry : settings.value("broken", json::array())) {
      broken_targets_.push_back(std::make_unique<broken_target>(
          loop_, clock_, entry.value("id", ""), runs_));
      if (!broken_targets_.back()->Listen(entry.value("port", uint16_t{0}))) {
        return false;
      }
    }
    server_ = net::http1_server::Create(
        loop_, clock_, {"127.0.0.1", settings.value("port", uint16_t{0})},
        net::http1_server_limits(),
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          Handle(exchange);
        });
    return server_ != nullptr;
  }

 private:
  void Handle(const std::shared_ptr<net::http1_exchange>& exchange) {
    const std::string& target = exchange->head().target;
    if (!target.starts_with("/control/")) {
      rows_.Handle(exchange);
      return;
    }
    const json body = json::parse(exchange->body(), nullptr, false);
    json answer = json::object();
    if (target == "/control/rows") {
      SetRow(body);
    } else if (target == "/control/store" && body.is_object()) {
      rows_.SetFaults({body.value("how", ""), body.value("delay_ms", 0),
                       body.value("forgotten", false)});
    } else if (target == "/control/copy") {
      body.value("restore", false) ? rows_.Restore() : rows_.TakeCopy();
    } else if (target == "/control/store") {
      answer = {{"calls", rows_.calls()}};
    } else if (target == "/control/targets") {
      SetBehaviour(body);
    } else if (target == "/control/broken") {
      SetBreak(body);
    } else if (target == "/control/arrivals") {
      answer = Arrivals();
    } else if (target == "/control/runs") {
      answer = Runs(false);
    } else if (target == "/control/rejected") {
      answer = Runs(true);
    }
    exchange->Send(200, "OK", {}, answer.dump());
  }

  void SetRow(const json& body) {
    const json value = body.value("value", json());
    std::optional<std::string> text;
    if (value.is_string()) text = value.get<std::string>();
    if (value.is_object()) text = value.dump();
    rows_.Set(body.value("table", ""), body.value("key", ""), text);
  }

  void SetBehaviour(const json& body) {
    target_behaviour behaviour;
    behaviour.mode = body.value("how", behaviour.mode);
    behaviour.events = body.value("events", behaviour.events);
    behaviour.event_ms = body.value("event_ms", behaviour.event_ms);
    behaviour.work_ms = body.value("work_ms", behaviour.work_ms);
    behaviour.cut_after = body.value("cut_after", behaviour.cut_after);
    behaviour.padding = body.value("padding", behaviour.padding);
    behaviour.status = body.value("status", behaviour.status);
    behaviour.crashing_part =
        body.value("crashing_part", behaviour.crashing_part);
    behaviour.crashing_key = body.value("crashing_key", behaviour.crashing_key);
    behaviour.limits = body.value("limits", behaviour.limits);
    behaviour.headers = body.value("headers", behaviour.headers);
    for (const std::unique_ptr<simulated_target>& each : targets_) {
      if (each->id() == body.value("id", each->id()) &&
          each->service() == body.value("service", each->service())) {
        each->SetBehaviour(behaviour);
      }
    }
  }

  void SetBreak(const json& body) {
    response_break next;
    next.framing = body.value("framing", next.framing);
    next.at = body.value("at", next.at);
    next.reset = body.value("reset", next.reset);
    next.status = body.value("status", next.status);
    next.is_signed = body.value("signed", next.is_signed);
    next.is_stream = body.value("stream", next.is_stream);
    next.events = body.value("events", next.events);
    next.cut_after = body.value("cut_after", next.cut_after);
    next.padding = body.value("padding", next.padding);
    next.whole_first = body.value("whole_first", next.whole_first);
    next.end_ms = body.value("end_ms", next.end_ms);
    next.endless = body.value("endless", next.endless);
    next.begin = body.value("begin", next.begin);
    next.repeats_refusal = body.value("repeats", next.repeats_refusal);
    for (const std::unique_ptr<broken_target>& each : broken_targets_) {
      if (each->id() == body.value("id", each->id())) each->SetBreak(next);
    }
  }

  /// Releases of stage results are left out.
  json Arrivals() const {
    json arrivals = json::object();
    for (const target_run& run : runs_) {
      if (run.path == "/v1/stage-free" || run.rejected) continue;
      arrivals[run.target_id].push_back(run.at_ms);
    }
    return arrivals;
  }

  json Runs(bool rejected) const {
    json list = json::array();
    for (const target_run& run : runs_) {
      if (run.rejected != rejected) continue;
      list.push_back({{"target", run.target_id},
                      {"request_id", run.request_id},
                      {"method", run.method},
                      {"path", run.path},
                      {"headers", run.headers},
                      {"body", run.body},
                      {"at_ms", run.at_ms}});
    }
    return {{"runs", list}};
  }

  net::event_loop& loop_;
  common::clock& clock_;
  row_service rows_;
  std::vector<target_run> runs_;
  std::vector<std::unique_ptr<simulated_target>> targets_;
  std::vector<std::unique_ptr<broken_target>> broken_targets_;
  std::unique_ptr<net::http1_server> server_;
};

int Run(const std::string& path) {
  std::ifstream file(path);
  const json settings = json::parse(file, nullptr, false);
  if (!settings.is_object()) {
    std::fprintf(stderr, "%s is not a JSON object\n", path.c_str());
    return 2;
  }
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  if (!loop) return 1;
  common::system_clock clock;
  standin stand_in(**loop, clock);
  if (!stand_in.Listen(settings)) {
    std::fprintf(stderr, "%s\n", common::LastError().text.c_str());
    return 1;
  }
  (*loop)->SetStopSignalHandler([&loop] { (*loop)->Stop(); });
  (*loop)->Run();
  return 0;
}

}  // namespace
}  // namespace wisteriadale::platform_standin

int main(int argc, char** argv) {
  constexpr char kFlag[] = "--settings=";
  const std::string argument = argc == 2 ? argv[1] : "";
  if (!argument.starts_with(kFlag)) {
    std::fputs("usage: wisteria-platform-standin --settings=FILE\n", stderr);
    return 2;
  }
  return wisteriadale::platform_standin::Run(
      argument.substr(sizeof(kFlag) - 1));
}
