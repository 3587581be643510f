#include <CppUTest/TestHarness.h>

#include "ctl/document_diff.h"
#include "ctl/router_client.h"
#include "ctl/table_output.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Ctl){};

TEST(Ctl, EndpointsAreParsedOrRejected) {
  const std::optional<std::vector<net::endpoint>> endpoints =
      ctl::ParseEndpoints("127.0.0.1:80,127.0.0.2:8080");
  CHECK(endpoints.has_value());
  CHECK_EQUAL(2U, endpoints->size());
  CHECK_EQUAL(8080, (*endpoints)[1].port);
  CHECK(!ctl::ParseEndpoints("127.0.0.1").has_value());
  CHECK(!ctl::ParseEndpoints("127.0.0.1:0").has_value());
  CHECK(!ctl::ParseEndpoints("127.0.0.1:8x").has_value());
}

TEST(Ctl, ExitCodesDistinguishHowACallEnded) {
  ctl::router_answer answer;
  CHECK(answer.ToExitCode() == ctl::exit_code::kNoRouter);
  answer.status = 409;
  CHECK(answer.ToExitCode() == ctl::exit_code::kConflict);
  answer.status = 422;
  CHECK(answer.ToExitCode() == ctl::exit_code::kRefused);
  answer.status = 503;
  answer.body = "{\"error\":{\"outcome\":\"unknown\"}}";
  CHECK(answer.ToExitCode() == ctl::exit_code::kUnknown);
  answer.body = "{\"error\":{\"outcome\":\"not_run\"}}";
  CHECK(answer.ToExitCode() == ctl::exit_code::kFailed);
}

TEST(Ctl, DiffListsEachChangedValue) {
  const std::vector<ctl::document_change> changes = ctl::DiffDocuments(
      R"({"preset":"ordinary","a":1})", R"({"preset":"peak","b":2})");
  CHECK_EQUAL(3U, changes.size());
  bool preset_changed = false;
  for (const ctl::document_change& change : changes) {
    if (change.pointer != "/preset") continue;
    preset_changed = true;
    STRCMP_EQUAL("\"ordinary\"", change.before.c_str());
    STRCMP_EQUAL("\"peak\"", change.after.c_str());
  }
  CHECK(preset_changed);
}

TEST(Ctl, TablesPadColumnsAndIncludeEveryRow) {
  const std::string table = ctl::RenderAnswer(
      R"({"targets":[{"id":"m1","pool":"model"},{"id":"longer","pool":"x"}]})");
  STRCMP_EQUAL("id      pool\nm1      model\nlonger  x\n", table.c_str());
}
