#include "core/configuration/configuration.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/last_error.h"
#include "core/configuration/configuration_schema.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

/// Collects all errors of a document, each with its JSON pointer.
class error_list {
 public:
  void Add(const std::string& pointer, std::string_view text) {
    if (!text_.empty()) text_.append("; ");
    text_.append(pointer).append(": ").append(text);
  }
  bool empty() const { return text_.empty(); }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

pipeline_stage ReadStage(const json& from) {
  pipeline_stage stage;
  stage.name = from.value("name", "");
  stage.pool = from.value("pool", "");
  stage.idempotent = from.value("idempotent", true);
  stage.streamed = from.value("streamed", false);
  // Streamed stages run on engines, which cache prompt prefixes.
  stage.prefix_affinity = from.value("prefix_affinity", stage.streamed);
  return stage;
}

pipeline_plan ReadPipeline(const std::string& name, const json& from,
                           error_list* errors) {
  const std::string pointer = "/pipelines/" + name + "/stages";
  pipeline_plan plan;
  plan.name = name;
  plan.default_deadline = common::milliseconds(from.value("deadline_ms", 5000));
  plan.deferrable = from.value("deferrable", false);
  int non_idempotent = 0;
  for (const json& stage : from.value("stages", json::array())) {
    plan.stages.push_back(ReadStage(stage));
    const std::string& stage_name = plan.stages.back().name;
    if (!plan.stages.back().idempotent) ++non_idempotent;
    const auto same = std::count_if(plan.stages.begin(), plan.stages.end(),
                                    [&stage_name](const pipeline_stage& other) {
                                      return other.name == stage_name;
                                    });
    if (same == 2) errors->Add(pointer, "has two stages named " + stage_name);
  }
  if (non_idempotent > 1) {
    errors->Add(pointer, "has more than one non-idempotent stage");
  }
  return plan;
}

preset_policy ReadPreset(const std::string& name, const json& from) {
  preset_policy preset;
  preset.name = name;
  const auto read = [&from](const char* key, auto* field) {
    *field = from.value(key, *field);
  };
  read("routing", &preset.routing);
  read("subset_size", &preset.subset_size);
  read("spill_at", &preset.spill_at);
  read("remote_penalty", &preset.remote_penalty);
  read("prefix_affinity", &preset.prefix_affinity);
  read("affinity_bound", &preset.affinity_bound);
  read("ejection_share", &preset.ejection_share);
  read("retry", &preset.retry);
  read("max_attempts", &preset.max_attempts);
  read("max_request_retries", &preset.max_request_retries);
  read("retry_ratio", &preset.retry_ratio);
  read("hedging", &preset.hedging);
  read("hedge_quantile", &preset.hedge_quantile);
  read("deadlines", &preset.deadlines);
  read("finish_quantile", &preset.finish_quantile);
  read("timeout_quantile", &preset.timeout_quantile);
  read("timeout_factor", &preset.timeout_factor);
  read("admission", &preset.admission);
  read("organisation_rate", &preset.organisation_rate);
  preset.slow_start = common::milliseconds(
      from.value("slow_start_ms", preset.slow_start.count()));
  preset.drained_data_centres =
      from.value("drained_data_centres", std::vector<std::string>());
  return preset;
}

/// Checks that no two organisations have the same API key: they could not be
/// told apart.
void CheckKeys(const configuration& checked, error_list* errors) {
  std::map<std::string, std::string> owner_of_key;
  for (const auto& [name, organisation] : checked.organisations) {
    if (organisation.key_sha256.empty()) continue;
    const auto [owner, added] =
        owner_of_key.emplace(organisation.key_sha256, name);
    if (added) continue;
    errors->Add("/organisations/" + name + "/key_sha256",
                "is also the key of " + owner->second);
  }
}

void ReadConfiguration(const json& from, configuration* to,
                       error_list* errors) {
  to->preset = from.value("preset", "");
  const json presets = from.value("presets", json::object());
  for (const auto& [name, preset] : presets.items()) {
    to->presets.emplace(name, ReadPreset(name, preset));
  }
  if (!to->presets.contains(to->preset)) {
    errors->Add("/preset", "names no preset of /presets");
  }
  const json pipelines = from.value("pipelines", json::object());
  for (const auto& [name, plan] : pipelines.items()) {
    to->pipelines.emplace(name, ReadPipeline(name, plan, errors));
  }
  const json organisations = from.value("organisations", json::object());
  for (const auto& [name, entry] : organisations.items()) {
    organisation_entry organisation;
    organisation.name = name;
    organisation.key_sha256 = entry.value("key_sha256", "");
    organisation.weight = entry.value("weight", 1U);
    to->organisations.emplace(name, organisation);
  }
  CheckKeys(*to, errors);
}

}  // namespace

bool pipeline_plan::HasNonIdempotentStage() const {
  for (const pipeline_stage& stage : stages) {
    if (!stage.idempotent) return true;
  }
  return false;
}

const pipeline_plan* configuration::FindPipeline(std::string_view name) const {
  const auto found = pipelines.find(std::string(name));
  return found == pipelines.end() ? nullptr : &found->second;
}

const preset_policy& configuration::Preset() const {
  return presets.at(preset);
}

std::optional<std::shared_ptr<const configuration>> ParseConfiguration(
    std::string_view document, uint64_t version) {
  error_list errors;
  for (const configuration_error& error : CheckConfigurationSchema(document)) {
    errors.Add(error.pointer, error.text);
  }
  if (!errors.empty()) {
    common::SetLastError(common::result_code::kBadConfiguration, errors.text());
    return std::nullopt;
  }
  const json parsed = json::parse(document, nullptr, false);
  const std::shared_ptr<configuration> result =
      std::make_shared<configuration>();
  result->version = version;
  result->document = document;
  result->digest = common::Sha256Hex(document);
  // The JSON library throws if a value has the wrong type.
  try {
    ReadConfiguration(parsed, result.get(), &errors);
  } catch (const json::exception& json_error) {
    errors.Add("", json_error.what());
  }
  if (!errors.empty()) {
    common::SetLastError(common::result_code::kBadConfiguration, errors.text());
    return std::nullopt;
  }
  return result;
}

std::string AgentConfigurationJson(const configuration& from) {
  const json full = json::parse(from.document, nullptr, false);
  json subset = {{"preset", from.preset}};
  subset["presets"][from.preset] =
      full.value("presets", json::object()).value(from.preset, json::object());
  return subset.dump();
}

std::optional<agent_configuration> ParseAgentConfiguration(
    std::string_view json_text, uint64_t version) {
  const json parsed = json::parse(json_text, nullptr, false);
  // The JSON library throws if a value has the wrong type.
  try {
    agent_configuration result;
    result.version = version;
    const std::string preset = parsed.at("preset");
    result.preset = ReadPreset(preset, parsed.at("presets").at(preset));
    return result;
  } catch (const json::exception& json_error) {
    common::SetLastError(common::result_code::kBadConfiguration,
                         json_error.what());
    return std::nullopt;
  }
}

}  // namespace wisteriadale::core
