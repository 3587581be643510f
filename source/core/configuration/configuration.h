#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"

namespace wisteriadale::core {

/// One step of a pipeline.
struct pipeline_stage {
  std::string name;
  std::string pool;
  bool idempotent = true;
  bool streamed = false;  ///< its result reaches the caller piece by piece
  bool prefix_affinity = false;  ///< its targets keep prompt prefixes
};

/// The stages that a request runs, in order.
struct pipeline_plan {
  std::string name;
  std::vector<pipeline_stage> stages;
  common::milliseconds default_deadline{5000};
  bool deferrable = false;  ///< may wait in its own class, is never dropped

  /// @return whether a request needs an idempotency key
  bool HasNonIdempotentStage() const;
};

/// A customer of a deployment.
struct organisation_entry {
  std::string name;
  std::string key_sha256;  ///< of its API key
  uint32_t weight = 1;
};

/// What a preset changes.
struct preset_policy {
  std::string name;

  /// two_choices, or a baseline: round_robin, random, least_outstanding
  std::string routing = "two_choices";
  uint32_t subset_size = 64;    ///< targets of a pool that a router works with
  double spill_at = 0.5;        ///< local load from which others are looked at
  double remote_penalty = 1.5;  ///< load factor for other data centres
  bool prefix_affinity = true;
  double affinity_bound = 1.25;  ///< over the mean load
  common::milliseconds slow_start{10000};
  double ejection_share = 0.34;  ///< of a pool that may be ejected; 0: none

  /// budget, or a baseline: none, immediate
  std::string retry = "budget";
  uint32_t max_attempts = 3;         ///< for each idempotent stage
  uint32_t max_request_retries = 4;  ///< over all stages of a request
  double retry_ratio = 0.1;          ///< retries as a share of successes
  bool hedging = false;
  double hedge_quantile = 0.95;  ///< hedge after this latency quantile

  /// quantiles, or a baseline: whole
  std::string deadlines = "quantiles";
  double finish_quantile = 0.5;    ///< that must fit in what remains
  double timeout_quantile = 0.99;  ///< of an attempt without progress
  double timeout_factor = 3.0;

  /// early, or a baseline: open
  std::string admission = "early";
  double organisation_rate = 0;  ///< requests a second for each unit of weight,
                                 ///< over all routers; 0: no quota

  std::vector<std::string> drained_data_centres;
  bool operator==(const preset_policy&) const = default;
};

/// An accepted configuration. Immutable; requests share the version they were
/// admitted under.
struct configuration {
  uint64_t version = 0;
  std::string digest;
  std::string document;  ///< the JSON text it was read from
  std::string preset;
  std::map<std::string, preset_policy> presets;
  std::map<std::string, pipeline_plan> pipelines;
  std::map<std::string, organisation_entry> organisations;

  const pipeline_plan* FindPipeline(std::string_view name) const;
  /// @return the policy of the preset in force
  const preset_policy& Preset() const;
};

/// The part of a configuration that agents need.
struct agent_configuration {
  uint64_t version = 0;
  preset_policy preset;  ///< the one in force
};

/// @return the part for agents, as JSON text; it does not grow with the number
/// of organisations
std::string AgentConfigurationJson(const configuration& from);

/// @return the part that AgentConfigurationJson wrote, or nothing with
/// LastReason set
std::optional<agent_configuration> ParseAgentConfiguration(
    std::string_view part, uint64_t version);

/// Reads a configuration document.
/// @param document JSON text
/// @param version  the version under which it was accepted
/// @return the configuration, or nothing with LastReason naming the faults
std::optional<std::shared_ptr<const configuration>> ParseConfiguration(
    std::string_view document, uint64_t version);

}  // namespace wisteriadale::core
