#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <string>

#include "common/last_error.h"
#include "settings/common_settings.h"
#include "settings/gateway_settings.h"

// Included last: its macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

const std::map<std::string, std::string> kValues = {
    {"node", R"("front-a-1")"},
    {"zone", R"("a")"},
    {"listen.front", R"("10.1.0.41:8625")"},
    {"listen.ready", R"("10.1.0.41:8621")"},
    {"listen.control", R"("10.1.0.41:8628")"},
    {"platform.address", R"("10.200.1.7:8624")"},
    {"seeds", R"(["10.1.0.41:8628","10.2.0.25:8628"])"},
    {"heartbeat-ms", "1500"},
    {"bounds.config-apply-ms", "2000"},
    {"bounds.drain-ms", "3000"},
    {"bounds.grace-s", "8"},
    {"bounds.retry-budget-ratio", "0.2"},
    {"bounds.budget-slack", "58"},
    {"bounds.budget-window-s", "10"},
    {"limits.cpu-share", "0.19"},
    {"limits.max-fds", "4100"},
    {"limits.link-mbps", "1000.0"},
    {"limits.memory-mb", "260"}};

std::string ReadTemplate() {
  std::ifstream file(std::string(WISTERIADALE_DEPLOY) +
                     "/gateway.json.template");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Replaces each {{name|json}} by its value.
std::string Render(std::string text) {
  const std::string end = "|json}}";
  for (size_t at = text.find("{{"); at != std::string::npos;
       at = text.find("{{", at)) {
    const size_t close = text.find(end, at);
    const std::string name = text.substr(at + 2, close - at - 2);
    CHECK_TEXT(kValues.contains(name), name.c_str());
    text.replace(at, close + end.size() - at, kValues.at(name));
  }
  return text;
}

}  // namespace

TEST_GROUP(DeployTemplate){};

TEST(DeployTemplate, RendersValidGatewaySettings) {
  const std::optional<settings::settings_document> parsed =
      settings::settings_document::Parse(Render(ReadTemplate()), {},
                                         settings::GatewaySettings());
  CHECK_TEXT(parsed.has_value(), common::LastError().text.c_str());
  STRCMP_EQUAL("front-a-1", parsed->Text(settings::kName).c_str());
  CHECK(parsed->Integer(settings::kTargetsLeaveMs) == 3000);
  CHECK(parsed->Integer(settings::kTargetsHeartbeatMs) == 1500);
  CHECK(parsed->Integer(settings::kRoutesApplyMs) == 2000);
  LONGS_EQUAL(4100, parsed->Integer(settings::kMaxConnections));
  DOUBLES_EQUAL(58, parsed->Number(settings::kRepeatSlack), 0);
}
