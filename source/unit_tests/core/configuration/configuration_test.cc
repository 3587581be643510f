#include "core/configuration/configuration.h"

#include <CppUTest/TestHarness.h>

#include "common/last_reason.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

std::string FaultsOf(const std::string& document) {
  CHECK_FALSE(core::ParseConfiguration(document, 1).has_value());
  return common::LastReason().text;
}

void CheckNames(const std::string& faults, const std::string& wanted) {
  const bool named = faults.find(wanted) != std::string::npos;
  CHECK_TEXT(named, (wanted + " is not in: " + faults).c_str());
}

}  // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, EveryFaultIsNamedWithItsPointer) {
  const std::string faults = FaultsOf(R"({
    "preset": "storm",
    "presets": {"peak": {"retry_ration": 0.1, "max_attempts": 0}},
    "pipelines": {
      "quote": {"stages": [{"name": "encode", "pool": 7}]},
      "booking": {"stages": [
        {"name": "a", "pool": "p", "idempotent": false},
        {"name": "a", "pool": "p", "idempotent": false}]}},
    "organisations": {"parks": {"key_sha256": "ABC"}}})");
  CheckNames(faults,
             "/presets/peak/retry_ration: is not a known key; the nearest is "
             "retry_ratio");
  CheckNames(faults, "/presets/peak/max_attempts:");
  CheckNames(faults, "/pipelines/quote/stages/0/pool:");
  CheckNames(faults, "/organisations/parks/key_sha256:");
}

TEST(Configuration, RulesAcrossFieldsAreChecked) {
  const std::string key(64, 'a');
  const std::string faults = FaultsOf(R"({
    "preset": "storm",
    "presets": {"peak": {}},
    "pipelines": {
      "booking": {"stages": [
        {"name": "a", "pool": "p", "idempotent": false},
        {"name": "a", "pool": "p", "idempotent": false}]}},
    "organisations": {"parks": {"key_sha256": ")" +
                                      key + R"("},
                      "kommune": {"key_sha256": ")" +
                                      key + R"("}}})");
  CheckNames(faults, "/preset: names no preset");
  CheckNames(faults, "/pipelines/booking/stages: has more than one");
  CheckNames(faults, "/pipelines/booking/stages: has two stages named a");
  CheckNames(faults, "/organisations/parks/key_sha256: is also the key of");
}

TEST(Configuration, TextThatIsNoObjectIsRefused) {
  CheckNames(FaultsOf("[1"), "not a JSON object");
}

TEST(Configuration, AgentPartHoldsThePresetInForceOnly) {
  const std::optional<std::shared_ptr<const core::configuration>> parsed =
      core::ParseConfiguration(
          R"({"preset":"peak",
              "presets":{"peak":{"drained_data_centres":["b"]},"calm":{}},
              "pipelines":{"q":{"stages":[{"name":"s","pool":"p"}]}},
              "organisations":{"parks":{"weight":2}}})",
          3);
  CHECK(parsed.has_value());
  const std::string part = core::AgentConfigurationJson(**parsed);
  CHECK(part.find("parks") == std::string::npos);
  const std::optional<core::agent_configuration> agent =
      core::ParseAgentConfiguration(part, 3);
  CHECK(agent.has_value());
  CHECK_EQUAL(std::string("peak"), agent->preset.name);
  CHECK_EQUAL(std::string("b"), agent->preset.drained_data_centres.at(0));
}
