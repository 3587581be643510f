#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/channel.h"

/// Open-loop load and its report.
namespace wisteriadale::load {

/// A part of the run with its own rate.
struct phase {
  std::string name;
  double seconds = 0;
  double rate = 0;          ///< requests a second
  std::string heavy;        ///< organisation that sends more than its share
  double heavy_factor = 1;  ///< of that organisation's share, on top of rate
};

/// One kind of request.
struct request_kind {
  std::string name;  ///< in the report
  std::string pipeline;
  double share = 1;
  bool streamed = false;
  bool needs_key = false;    ///< sent with an idempotency key
  int64_t deadline_ms = 0;   ///< 0: the pipeline's own, taken as 5000
  uint32_t tokens = 24;      ///< of the engines' answers, to check them
  std::string direct_stage;  ///< set: sent straight to a target, no router
  std::vector<net::endpoint> direct_targets;
};

struct organisation {
  std::string name;
  std::string key;
  double share = 1;
};

/// A fault that begins or ends during the run.
struct fault_step {
  double at_seconds = 0;
  std::string faults_json;  ///< for the stand-in; empty: only a note
  std::string note;
};

/// What to send, when and where.
struct load_plan {
  std::string name;
  uint64_t seed = 1;
  std::vector<net::endpoint> routers;
  net::endpoint platform;
  std::vector<phase> phases;
  std::vector<request_kind> kinds;
  std::vector<organisation> organisations;
  std::vector<fault_step> steps;
  double recovery_from_seconds = -1;  ///< end of the disturbance; < 0: none

  double Seconds() const;
};

/// One request to send.
struct arrival {
  double at_seconds = 0;
  size_t phase = 0;
  size_t kind = 0;
  size_t organisation = 0;
};

/// Reads a plan.
/// @return the plan, or nothing with LastReason set
std::optional<load_plan> ParsePlan(std::string_view text);

/// @return the requests of a plan in order of time: a Poisson process in each
/// phase, the same for the same seed
std::vector<arrival> Arrivals(const load_plan& plan);

}  // namespace wisteriadale::load
