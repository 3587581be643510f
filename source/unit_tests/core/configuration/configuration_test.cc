#include "core/configuration/configuration.h"

#include <CppUTest/TestHarness.h>

#include "common/last_error.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

std::string ErrorsOf(const std::string& document) {
  CHECK_FALSE(core::ParseConfiguration(document, 1).has_value());
  return common::LastError().text;
}

void CheckContains(const std::string& errors, const std::string& expected) {
  const bool contained = errors.find(expected) != std::string::npos;
  CHECK_TEXT(contained, (expected + " is not in: " + errors).c_str());
}

}  // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, AllErrorsAreReportedWithTheirPointers) {
  const std::string errors = ErrorsOf(R"({
    "preset": "storm",
    "presets": {"peak": {"retry_ration": 0.1, "max_attempts": 0}},
    "pipelines": {
      "quote": {"stages": [{"name": "encode", "pool": 7}]},
      "booking": {"stages": [
        {"name": "a", "pool": "p", "idempotent": false},
        {"name": "a", "pool": "p", "idempotent": false}]}},
    "organisations": {"parks": {"key_sha256": "ABC"}}})");
  CheckContains(
      errors,
      "/presets/peak/retry_ration: is not a known key; the nearest is "
      "retry_ratio");
  CheckContains(errors, "/presets/peak/max_attempts:");
  CheckContains(errors, "/pipelines/quote/stages/0/pool:");
  CheckContains(errors, "/organisations/parks/key_sha256:");
}

TEST(Configuration, CrossFieldRulesAreChecked) {
  const std::string key(64, 'a');
  const std::string errors = ErrorsOf(R"({
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
  CheckContains(errors, "/preset: names no preset");
  CheckContains(errors, "/pipelines/booking/stages: has more than one");
  CheckContains(errors, "/pipelines/booking/stages: has two stages named a");
  CheckContains(errors, "/organisations/parks/key_sha256: is also the key of");
}

TEST(Configuration, DocumentMustBeAnObject) {
  CheckContains(ErrorsOf("[1"), "not a JSON object");
}

TEST(Configuration, AgentConfigurationHoldsOnlyThePresetInForce) {
  const std::optional<std::shared_ptr<const core::configuration>> parsed =
      core::ParseConfiguration(
          R"({"preset":"peak",
              "presets":{"peak":{"drained_data_centres":["b"]},"calm":{}},
              "pipelines":{"q":{"stages":[{"name":"s","pool":"p"}]}},
              "organisations":{"parks":{"weight":2}}})",
          3);
  CHECK(parsed.has_value());
  const std::string agent_json = core::AgentConfigurationJson(**parsed);
  CHECK(agent_json.find("parks") == std::string::npos);
  const std::optional<core::agent_configuration> agent =
      core::ParseAgentConfiguration(agent_json, 3);
  CHECK(agent.has_value());
  CHECK_EQUAL(std::string("peak"), agent->preset.name);
  CHECK_EQUAL(std::string("b"), agent->preset.drained_data_centres.at(0));
}
