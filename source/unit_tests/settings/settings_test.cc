#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

#include "common/last_error.h"
#include "settings/agent_settings.h"
#include "settings/router_settings.h"
#include "settings/settings_docs.h"
#include "settings/settings_document.h"
#include "settings/standin_settings.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Settings){static bool Mentions(const std::string& text){
    return common::LastError().text.find(text) != std::string::npos;
}
static std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}
}
;

TEST(Settings, EveryErrorIsReportedAtOnceWithItsPointer) {
  const std::string text =
      R"({"name":5,"listen":{"prot":1,"port":70000},"log":{"json":"yes"}})";
  CHECK(
      !settings::settings_document::Parse(text, {}, settings::RouterSettings())
           .has_value());
  CHECK(Mentions("/name: "));
  CHECK(
      Mentions("/listen/prot: is not a setting; the nearest is /listen/port"));
  CHECK(Mentions("/listen/port: "));
  CHECK(Mentions("/log/json: "));
}

TEST(Settings, MissingRequiredSettingsAreNamed) {
  CHECK(!settings::settings_document::Parse("{}", {}, settings::AgentSettings())
             .has_value());
  CHECK(Mentions("/name: is required"));
  CHECK(Mentions("/target/port: is required"));
}

TEST(Settings, OverridesTakePrecedenceAndTextNeedsNoQuotes) {
  const std::vector<std::string> overrides = {"/name=7", "/listen/port=99"};
  const std::optional<settings::settings_document> read =
      settings::settings_document::Parse(R"({"name":"r1"})", overrides,
                                         settings::RouterSettings());
  CHECK(read.has_value());
  STRCMP_EQUAL("7", read->Text(settings::kName).c_str());
  CHECK_EQUAL(99, read->Integer(settings::kListenPort));
}

TEST(Settings, ADuplicateKeyIsAnError) {
  const std::string text =
      R"({"name":"r1","listen":{"port":1,"address":"127.0.0.1","port":2}})";
  CHECK(
      !settings::settings_document::Parse(text, {}, settings::RouterSettings())
           .has_value());
  CHECK(Mentions("port: is a duplicate key"));
}

TEST(Settings, ASyntaxErrorNamesItsLineAndColumn) {
  const std::string text = "{\n  \"name\": \"r1\",\n  oops\n}";
  CHECK(
      !settings::settings_document::Parse(text, {}, settings::RouterSettings())
           .has_value());
  CHECK(Mentions("line 3"));
  CHECK(Mentions("column"));
}

TEST(Settings, DocumentsThatAreNotObjectsAreRejected) {
  for (const char* text : {"", "[]", "{", "null", "1"}) {
    CHECK(!settings::settings_document::Parse(text, {},
                                              settings::RouterSettings())
               .has_value());
  }
}

TEST(Settings, SettingsPageMatchesTheTablesInTheCode) {
  STRCMP_EQUAL(settings::SettingsPage().c_str(),
               ReadFile(WISTERIADALE_DOCS "/SETTINGS.md").c_str());
}

TEST(Settings, ResultCodesPageMatchesTheTableInTheCode) {
  STRCMP_EQUAL(settings::ResultCodesPage().c_str(),
               ReadFile(WISTERIADALE_DOCS "/RESULT_CODES.md").c_str());
}
