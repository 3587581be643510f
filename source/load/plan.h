#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/channel.h"

/// Open-loop load generator with a report.
namespace wisteriadale::load {

/// A period of the run with a constant request rate.
struct phase {
  std::string name;
  double seconds = 0;
  double rate = 0;                 ///< requests per second
  std::string heavy_organisation;  ///< sends more than its share
  double heavy_factor = 1;         ///< multiplies its share, on top of rate
};

/// One kind of request in the load mix.
struct request_kind {
  std::string name;  ///< in the report; default: the pipeline
  std::string pipeline;
  double share = 1;  ///< relative weight among the kinds
  bool streamed = false;
  bool needs_key = false;    ///< sent with an idempotency key
  int64_t deadline_ms = 0;   ///< default in a plan: 5000
  uint32_t tokens = 24;      ///< expected length of the engines' answers
  std::string direct_stage;  ///< if set, calls targets directly, not a router
  std::vector<net::endpoint> direct_targets;  ///< called in turn
};

/// An organisation that sends requests.
struct organisation {
  std::string name;
  std::string key;   ///< API key
  double share = 1;  ///< relative weight among the organisations
};

/// A change of the injected faults during the run.
struct fault_step {
  double at_seconds = 0;    ///< since the start of the run
  std::string faults_json;  ///< sent to the stand-in; empty: no change
  std::string note;         ///< text of the mark in the report
};

/// The load of one run: requests, rates, servers and faults.
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

  /// @return the duration of all phases
  double Seconds() const;
};

/// One request to send.
struct arrival {
  double at_seconds = 0;    ///< since the start of the run
  size_t phase = 0;         ///< index in load_plan::phases
  size_t kind = 0;          ///< index in load_plan::kinds
  size_t organisation = 0;  ///< index in load_plan::organisations
};

/// Parses a plan.
/// @param text a JSON document
/// @return the plan, or nothing with LastError set
std::optional<load_plan> ParsePlan(std::string_view text);

/// Generates the requests of a plan as a Poisson process in each phase.
/// @return the requests in order of time; they are the same for the same seed
std::vector<arrival> GenerateArrivals(const load_plan& plan);

}  // namespace wisteriadale::load
