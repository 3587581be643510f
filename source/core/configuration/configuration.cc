#include "core/configuration/configuration.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/last_reason.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

/// Collects every fault of a document, each with its JSON pointer.
class fault_list {
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

stage_plan ReadStage(const json& from, const std::string& pointer,
                     fault_list* faults) {
  stage_plan stage;
  if (!from.is_object()) {
    faults->Add(pointer, "is not an object");
    return stage;
  }
  stage.name = from.value("name", "");
  stage.pool = from.value("pool", "");
  stage.idempotent = from.value("idempotent", true);
  stage.streamed = from.value("streamed", false);
  if (stage.name.empty()) faults->Add(pointer + "/name", "is missing");
  if (stage.pool.empty()) faults->Add(pointer + "/pool", "is missing");
  return stage;
}

pipeline_plan ReadPipeline(const std::string& name, const json& from,
                           fault_list* faults) {
  const std::string pointer = "/pipelines/" + name;
  pipeline_plan plan;
  plan.name = name;
  plan.default_deadline = common::milliseconds(from.value("deadline_ms", 5000));
  plan.deferrable = from.value("deferrable", false);
  const json stages = from.value("stages", json::array());
  if (stages.empty()) faults->Add(pointer + "/stages", "has no stage");
  int non_idempotent = 0;
  for (size_t i = 0; i < stages.size(); ++i) {
    const std::string at = pointer + "/stages/" + std::to_string(i);
    plan.stages.push_back(ReadStage(stages[i], at, faults));
    if (!plan.stages.back().idempotent) ++non_idempotent;
  }
  if (non_idempotent > 1) {
    faults->Add(pointer + "/stages", "has more than one non-idempotent stage");
  }
  return plan;
}

preset_policy ReadPreset(const std::string& name, const json& from) {
  preset_policy preset;
  preset.name = name;
  preset.routing = from.value("routing", preset.routing);
  preset.max_attempts = from.value("max_attempts", preset.max_attempts);
  preset.retry_ratio = from.value("retry_ratio", preset.retry_ratio);
  preset.hedging = from.value("hedging", preset.hedging);
  preset.hedge_quantile = from.value("hedge_quantile", preset.hedge_quantile);
  preset.remote_penalty = from.value("remote_penalty", preset.remote_penalty);
  preset.drained_data_centres =
      from.value("drained_data_centres", std::vector<std::string>());
  return preset;
}

void ReadAll(const json& from, configuration* to, fault_list* faults) {
  to->preset = from.value("preset", "");
  const json presets = from.value("presets", json::object());
  for (const auto& [name, preset] : presets.items()) {
    to->presets.emplace(name, ReadPreset(name, preset));
  }
  if (!to->presets.contains(to->preset)) {
    faults->Add("/preset", "names no preset of /presets");
  }
  const json pipelines = from.value("pipelines", json::object());
  for (const auto& [name, plan] : pipelines.items()) {
    to->pipelines.emplace(name, ReadPipeline(name, plan, faults));
  }
  if (to->pipelines.empty()) faults->Add("/pipelines", "has no pipeline");
  const json organisations = from.value("organisations", json::object());
  for (const auto& [name, entry] : organisations.items()) {
    organisation_entry organisation;
    organisation.name = name;
    organisation.key_sha256 = entry.value("key_sha256", "");
    organisation.weight = entry.value("weight", 1U);
    to->organisations.emplace(name, organisation);
  }
}

}  // namespace

bool pipeline_plan::HasNonIdempotentStage() const {
  for (const stage_plan& stage : stages) {
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
  const json parsed = json::parse(document, nullptr, false);
  if (!parsed.is_object()) {
    common::SetLastReason(common::result_code::kBadConfiguration,
                          "the document is not a JSON object");
    return std::nullopt;
  }
  const std::shared_ptr<configuration> result =
      std::make_shared<configuration>();
  result->version = version;
  result->document = document;
  result->digest = common::Sha256Hex(document);
  fault_list faults;
  // A value of the wrong type is reported by an exception of the library.
  try {
    ReadAll(parsed, result.get(), &faults);
  } catch (const json::exception& error) {
    faults.Add("", error.what());
  }
  if (!faults.empty()) {
    common::SetLastReason(common::result_code::kBadConfiguration,
                          faults.text());
    return std::nullopt;
  }
  return result;
}

}  // namespace wisteriadale::core
