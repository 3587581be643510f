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

/// One stage of a pipeline.
struct pipeline_stage {
  std::string name;
  std::string pool;
  bool idempotent = true;
  bool streamed = false;         ///< the result is streamed to the caller
  bool prefix_affinity = false;  ///< the targets cache prompt prefixes
};

/// A pipeline: the stages that a request runs, in order.
struct pipeline_plan {
  std::string name;
  std::vector<pipeline_stage> stages;
  common::milliseconds default_deadline{5000};
  bool deferrable = false;  ///< low priority: may wait, but is never dropped

  /// @return whether a request needs an idempotency key
  bool HasNonIdempotentStage() const;
};

/// An organisation that may send requests.
struct organisation_entry {
  std::string name;
  std::string key_sha256;  ///< hash of its API key; empty if it has none
  uint32_t weight = 1;
};

/// Policies and their parameters, selected together by the preset's name.
struct preset_policy {
  std::string name;

  /// two_choices, or a baseline: round_robin, random, least_outstanding
  std::string routing = "two_choices";
  uint32_t subset_size = 64;  ///< targets of a pool that a router uses
  /// Load of a local target from which remote targets are considered too.
  double spill_at = 0.5;
  double remote_penalty = 1.5;  ///< cost factor for other data centres
  bool prefix_affinity = true;
  double affinity_bound = 1.25;  ///< load limit, relative to the mean load
  common::milliseconds slow_start{10000};
  double ejection_share = 0.34;  ///< maximum share of a pool; 0: no ejections

  /// budget, or a baseline: none, immediate
  std::string retry = "budget";
  uint32_t max_attempts = 3;         ///< of each idempotent stage
  uint32_t max_request_retries = 4;  ///< over all stages of a request
  double retry_ratio = 0.1;          ///< retries per success
  bool hedging = false;
  double hedge_quantile = 0.95;  ///< latency quantile after which to hedge

  /// quantiles, or a baseline: whole
  std::string deadlines = "quantiles";
  /// Latency quantile of the stages that must fit into the remaining time.
  double finish_quantile = 0.5;
  /// Latency quantile that, multiplied by `timeout_factor`, is the timeout of
  /// an attempt without progress.
  double timeout_quantile = 0.99;
  double timeout_factor = 3.0;

  /// early, or a baseline: open
  std::string admission = "early";
  /// Quota in requests per second and unit of weight, over all routers; 0: no
  /// quota.
  double organisation_rate = 0;

  std::vector<std::string> drained_data_centres;
  bool operator==(const preset_policy&) const = default;
};

/// An accepted configuration. Immutable: a request keeps using the version that
/// was in force when it was admitted.
struct configuration {
  uint64_t version = 0;
  std::string digest;    ///< of the document
  std::string document;  ///< JSON text
  std::string preset;    ///< name of the preset in force
  std::map<std::string, preset_policy> presets;
  std::map<std::string, pipeline_plan> pipelines;
  std::map<std::string, organisation_entry> organisations;

  const pipeline_plan* FindPipeline(std::string_view name) const;
  /// @return the policy of the preset in force
  const preset_policy& Preset() const;
};

/// The subset of a configuration that agents need.
struct agent_configuration {
  uint64_t version = 0;
  preset_policy preset;  ///< the preset in force
};

/// @return the agents' subset as JSON text; its size does not depend on the
/// number of organisations
std::string AgentConfigurationJson(const configuration& from);

/// Parses the output of AgentConfigurationJson.
/// @return the configuration, or nothing (with LastError set) if the text is
/// malformed
std::optional<agent_configuration> ParseAgentConfiguration(
    std::string_view json_text, uint64_t version);

/// Parses and validates a configuration document.
/// @param document JSON text
/// @param version  version under which the document was accepted
/// @return the configuration, or nothing with all errors in LastError
std::optional<std::shared_ptr<const configuration>> ParseConfiguration(
    std::string_view document, uint64_t version);

}  // namespace wisteriadale::core
