#include "core/routes/route_check.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;

TEST_GROUP(RouteCheck) {
  core::route_document document;

  void setup() override {
    document.version = 2;
    core::service_spec plain;
    plain.name = "plain";
    core::service_spec pool;
    pool.name = "pool";
    pool.batches = core::batch_spec{
        1, 8, milliseconds(150), milliseconds(10), 1000000, milliseconds(4000)};
    document.services = {plain, pool};
    core::route look;
    look.name = "look";
    look.host = "shop.example";
    look.path_prefix = "/stock/";
    look.kind = core::request_kind::kIdempotent;
    look.timeout = milliseconds(3000);
    look.objective = milliseconds(500);
    look.max_attempts = 2;
    look.services = {{"plain", 1}};
    look.stages = {{"pool", {}, 1000}, {"pool", {0}, 1000}};
    document.routes = {look};
    document.organisations = {{"molde", {"key"}, std::nullopt}};
  }
  /// @return whether there is such a finding and no other
  bool FindsOnly(core::finding_severity severity, const std::string& text) {
    const std::vector<core::route_finding> found =
        core::CheckRoutes(document, nullptr);
    return found.size() == 1 && found[0].severity == severity &&
           found[0].text.find(text) != std::string::npos;
  }
  bool Error(const std::string& text) {
    return FindsOnly(core::finding_severity::kError, text);
  }
  bool Warning(const std::string& text) {
    return FindsOnly(core::finding_severity::kWarning, text);
  }
};

TEST(RouteCheck, ASoundDocumentHasNoFindings) {
  CHECK(core::CheckRoutes(document, nullptr).empty());
}

TEST(RouteCheck, ServicesThatAreNotDefined) {
  document.routes[0].services[0].service = "plane";
  const std::vector<core::route_finding> found =
      core::CheckRoutes(document, nullptr);
  // The service that was meant is now used by no route.
  CHECK_EQUAL(2, found.size());
  CHECK(found[0].severity == core::finding_severity::kError);
  CHECK(found[1].severity == core::finding_severity::kWarning);
}

TEST(RouteCheck, EntriesThatNeverMatch) {
  core::route again = document.routes[0];
  again.name = "again";
  again.host = "SHOP.example";
  document.routes.push_back(again);
  CHECK(Error("route look has the same host and prefix"));
  document.routes[1].path_prefix = "/stock";
  CHECK(Error("does not begin and end with /"));
  document.routes[1].path_prefix = "/other/";
  document.routes[1].host = "shop.example:80";
  CHECK(Error("its host has a port"));
}

TEST(RouteCheck, LimitsThatContradictEachOther) {
  document.routes[0].objective = milliseconds(4000);
  CHECK(Warning("longer than its timeout"));
  document.routes[0].objective = milliseconds(300);
  CHECK(Warning("its stages take longer than its objective"));
  document.routes[0].timeout = milliseconds(310);
  CHECK(Error("its stages take longer than its timeout"));
}

TEST(RouteCheck, AttemptsThatAreNeverUsed) {
  document.routes[0].kind = core::request_kind::kNonIdempotent;
  CHECK(Warning("allows several attempts"));
}

TEST(RouteCheck, ResultsThatFitNoTarget) {
  document.routes[0].stages[1].result_bytes = 2000000;
  CHECK(Error("results larger than the memory"));
}

TEST(RouteCheck, KeysOfTwoOrganisations) {
  document.organisations.push_back({"oslo", {"key"}, std::nullopt});
  CHECK(Error("has a key of organisation molde"));
}

TEST(RouteCheck, AVersionThatWouldNotComeIntoForce) {
  core::route_document in_force = document;
  CHECK_EQUAL(1, core::CheckRoutes(document, &in_force).size());
  in_force.version = 1;
  CHECK(core::CheckRoutes(document, &in_force).empty());
}
