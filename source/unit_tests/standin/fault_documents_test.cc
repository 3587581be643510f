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

TEST(FaultDocuments, AnEmptyDocumentEndsAllFaults) {
  const std::optional<standin::fault_document> document =
      standin::ParseFaults("{}");
  CHECK(document.has_value());
  CHECK(document->ends_all);
}

TEST(FaultDocuments, TargetsAreSelectedByIdPoolOrDataCentre) {
  CHECK(standin::ParseFaults(R"({"targets":["model-1"],"fail_share":0.5})")
            ->Selects(target));
  CHECK(
      standin::ParseFaults(R"({"pool":"model","down":true})")->Selects(target));
  CHECK(standin::ParseFaults(R"({"data_centre":"molde","hang":true})")
            ->Selects(target));
  CHECK_FALSE(standin::ParseFaults(R"({"pool":"encoder"})")->Selects(target));
}

TEST(FaultDocuments, AnUnknownFaultOrTypeIsRefused) {
  CHECK_FALSE(standin::ParseFaults("[]").has_value());
  CHECK_FALSE(standin::ParseFaults(R"({"tabel_down":true})").has_value());
  CHECK_FALSE(standin::ParseFaults(R"({"delay_ms":"long"})").has_value());
  CHECK_FALSE(standin::ParseFaults(R"({"pool":"model","table_down":true})")
                  .has_value());
}
