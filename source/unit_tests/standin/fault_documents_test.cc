#include "standin/fault_documents.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(FaultDocuments) {
  standin::target_options target;

  void setup() override {
    target.id = "model-1";
    target.pool = "model";
    target.data_centre = "molde";
  }
};

TEST(FaultDocuments, EmptyDocumentClearsAllFaults) {
  const std::optional<standin::fault_document> document =
      standin::ParseFaultDocument("{}");
  CHECK(document.has_value());
  CHECK(document->clears_all);
}

TEST(FaultDocuments, TargetsAreSelectedByIdPoolOrDataCentre) {
  CHECK(
      standin::ParseFaultDocument(R"({"targets":["model-1"],"fail_share":0.5})")
          ->Matches(target));
  CHECK(standin::ParseFaultDocument(R"({"pool":"model","down":true})")
            ->Matches(target));
  CHECK(standin::ParseFaultDocument(R"({"data_centre":"molde","hang":true})")
            ->Matches(target));
  CHECK_FALSE(
      standin::ParseFaultDocument(R"({"pool":"encoder"})")->Matches(target));
}

TEST(FaultDocuments, UnknownFaultsAndWrongTypesAreRejected) {
  CHECK_FALSE(standin::ParseFaultDocument("[]").has_value());
  CHECK_FALSE(
      standin::ParseFaultDocument(R"({"tabel_down":true})").has_value());
  CHECK_FALSE(
      standin::ParseFaultDocument(R"({"delay_ms":"long"})").has_value());
  CHECK_FALSE(
      standin::ParseFaultDocument(R"({"pool":"model","table_down":true})")
          .has_value());
}
