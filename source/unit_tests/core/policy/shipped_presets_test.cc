#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

#include "common/last_error.h"
#include "core/policy/policy_provider.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(ShippedPresets) {
  fakes::virtual_time time;
  common::seeded_random random{1};

  static std::string Read(const std::string& deployment) {
    const std::ifstream file(std::string(WISTERIADALE_DOCS "/../settings/") +
                             deployment + "/configuration.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  void CheckAll(const std::string& deployment) {
    const std::optional<std::shared_ptr<const core::configuration>> read =
        core::ParseConfiguration(Read(deployment), 1);
    CHECK_TEXT(read.has_value(), common::LastError().text.c_str());
    for (const char* name : {"ordinary", "peak", "maintenance"}) {
      core::policy_state state(time, random, {"r1", "a"});
      CHECK(core::policy_set::Create((*read)->presets.at(name), state)
                .has_value());
    }
  }
};

TEST(ShippedPresets, HekkeformPresetsAreValid) { CheckAll("hekkeform"); }

TEST(ShippedPresets, ElSayedPresetsAreValid) { CheckAll("el-sayed"); }

TEST(ShippedPresets, AnUnknownPolicyIsRejectedWithItsLocation) {
  CHECK(!core::ParseConfiguration(
             R"({"preset": "p", "presets": {"p": {"routing": "rondom"}},
      "pipelines": {"s": {"stages": [{"name": "a", "pool": "b"}]}}})",
             1)
             .has_value());
  STRCMP_CONTAINS("/presets/p/routing", common::LastError().text.c_str());
  core::preset_policy preset;
  preset.retry = "forever";
  core::policy_state state(time, random, {"r1", "a"});
  CHECK(!core::policy_set::Create(preset, state).has_value());
  STRCMP_CONTAINS("forever", common::LastError().text.c_str());
}
