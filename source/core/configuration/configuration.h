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
struct stage_plan {
  std::string name;
  std::string pool;
  bool idempotent = true;
  bool streamed = false;  ///< its result reaches the caller piece by piece
};

/// The stages that a request runs, in order.
struct pipeline_plan {
  std::string name;
  std::vector<stage_plan> stages;
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
  std::string routing = "two_choices";
  uint32_t max_attempts = 3;  ///< for each idempotent stage
  double retry_ratio = 0.1;   ///< retries as a share of successes
  bool hedging = false;
  double hedge_quantile = 0.95;  ///< hedge after this latency quantile
  double remote_penalty = 2.0;   ///< load factor for other data centres
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

/// Reads a configuration document.
/// @param document JSON text
/// @param version  the version under which it was accepted
/// @return the configuration, or nothing with LastReason naming the faults
std::optional<std::shared_ptr<const configuration>> ParseConfiguration(
    std::string_view document, uint64_t version);

}  // namespace wisteriadale::core
