#include "platform/route_decoder.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "platform/platform_codec.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

json ValidTarget() {
  return {{"service", "plain"},   {"address", "10.0.0.1:8080"},
          {"zone", "a"},          {"version", "v1"},
          {"slots", 4},           {"state", "ready"},
          {"sequence", 3},        {"cold-remaining-ms", 0},
          {"born", 1700000000000}};
}

json ValidRoutes() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r"},
             {"host", "a.example"},
             {"path-prefix", "/x/"},
             {"kind", "streaming"},
             {"timeout-ms", 6000},
             {"target-latency-ms", 690},
             {"target-gap-ms", 150},
             {"weighted-services",
              {{{"service", "one"}, {"weight", 9}},
               {{"service", "two"}, {"weight", 1}}}},
             {"stages",
              {{{"service", "s"}, {"after", json::array()}},
               {{"service", "s"}, {"after", {0}}}}}}}},
          {"services",
           {{{"name", "s"},
             {"pieces",
              {{"slots", 1},
               {"batch", 14},
               {"call-ms", 150.0},
               {"item-ms", 9.2},
               {"headroom-mb", 87.0},
               {"handle-s", 4.0}}}}}}};
}

}  // namespace

TEST_GROUP(RouteDecoder){};

TEST(RouteDecoder, DecodesRoutesServicesAndStages) {
  const std::optional<core::route_document> decoded =
      platform::DecodeRoutes(ValidRoutes().dump());
  CHECK(decoded.has_value());
  const core::route& route = decoded->routes[0];
  CHECK(route.kind == core::request_kind::kStreaming);
  CHECK(route.timeout == std::chrono::seconds(6));
  // Four times the objective of 690 ms, the longest of the three limits.
  CHECK(route.patience == std::chrono::milliseconds(2760));
  CHECK_EQUAL(2, route.services.size());
  CHECK_EQUAL(0, route.stages[1].depends_on[0]);
  CHECK_EQUAL(87000000, decoded->services[0].batches->result_capacity_bytes);
  CHECK(decoded->services[0].batches->piece_time ==
        std::chrono::microseconds(9200));
}

TEST(RouteDecoder, StageCannotDependOnItselfOrLaterStage) {
  json routes = ValidRoutes();
  routes["routes"][0]["stages"][0]["after"] = {1};
  CHECK(!platform::DecodeRoutes(routes.dump()).has_value());
}

TEST(RouteDecoder, RejectsUnknownKind) {
  json routes = ValidRoutes();
  routes["routes"][0]["kind"] = "sometimes";
  CHECK(!platform::DecodeRoutes(routes.dump()).has_value());
}

TEST(RouteDecoder, DecodesTarget) {
  const std::optional<core::target_entry> decoded =
      platform::DecodeTarget("i-1", ValidTarget().dump());
  CHECK(decoded.has_value());
  CHECK_EQUAL("i-1", decoded->id);
  CHECK(!decoded->draining);
}

TEST(RouteDecoder, RejectsTargetWithMissingOrMalformedField) {
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "sequence", "cold-remaining-ms"}) {
    json missing = ValidTarget();
    missing.erase(field);
    CHECK_TEXT(!platform::DecodeTarget("i-1", missing.dump()), field);
    json malformed = ValidTarget();
    malformed[field] = json::array();
    CHECK_TEXT(!platform::DecodeTarget("i-1", malformed.dump()), field);
  }
  json state = ValidTarget();
  state["state"] = "resting";
  CHECK(!platform::DecodeTarget("i-1", state.dump()));
  json address = ValidTarget();
  address["address"] = "host:80";
  CHECK(!platform::DecodeTarget("i-1", address.dump()));
  json born = ValidTarget();
  born["born"] = 1.5;
  CHECK(!platform::DecodeTarget("i-1", born.dump()));
  CHECK(!platform::DecodeTarget("i-1", "\xff\xfe"));
}

TEST_GROUP(PlatformCodecPieces) {
  std::unique_ptr<core::deployment_codec> codec = platform::MakePlatformCodec();
};

TEST(PlatformCodecPieces, RejectsHandleOfAnotherTarget) {
  const std::string body =
      R"({"items":[{"handle":"10.0.0.1:80/a1"},{"handle":"10.0.0.2:80/a2"},)"
      R"({"reason":"room"},{"handle":"10.0.0.1:80/a,b"}]})";
  const std::optional<std::vector<core::piece_result>> results =
      codec->DecodePieces("10.0.0.1:80", 4, body);
  CHECK(results.has_value());
  CHECK((*results)[0].end == core::piece_outcome::kCompleted);
  CHECK((*results)[1].end == core::piece_outcome::kError);
  CHECK((*results)[2].end == core::piece_outcome::kNoRoom);
  CHECK((*results)[3].end == core::piece_outcome::kError);
}

TEST(PlatformCodecPieces, ResponseMustHoldOneResultPerPiece) {
  CHECK(!codec->DecodePieces("a", 2, R"({"items":[{"reason":"late"}]})"));
  CHECK(!codec->DecodePieces("a", 1, "[]"));
  CHECK(!codec->DecodePieces("a", 1, "nonsense"));
}

TEST(PlatformCodecPieces, DependentStageSendsInputsInsteadOfKey) {
  core::piece_ref first;
  first.request_id = "r1";
  first.key = "k1";
  core::piece_ref second = first;
  second.stage = 1;
  second.inputs = {"10.0.0.1:80/a1"};
  const std::vector<core::piece_ref> pieces = {first, second};
  const json body = json::parse(codec->EncodePieces(pieces, {}));
  CHECK_EQUAL("k1", body["items"][0]["key"].get<std::string>());
  CHECK(!body["items"][0].contains("inputs"));
  CHECK(!body["items"][1].contains("key"));
}
