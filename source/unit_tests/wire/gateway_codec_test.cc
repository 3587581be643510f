#include "wire/gateway_codec.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(GatewayCodec){};

TEST(GatewayCodec, CrashReportSurvivesRoundTrip) {
  const core::crash_report sent{"0a1b", 3};
  const std::optional<core::gateway_message> decoded =
      wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(sent));
  CHECK(decoded.has_value());
  CHECK(std::get<core::crash_report>(*decoded) == sent);
}

TEST(GatewayCodec, RoutesAnnouncementAndRequestSurviveRoundTrip) {
  const std::optional<core::gateway_message> announced =
      wire::DecodeGatewayMessage(
          wire::EncodeGatewayMessage(core::routes_message{{7, 2}, ""}));
  CHECK(announced.has_value());
  CHECK(std::get<core::routes_message>(*announced).edition ==
        (core::routes_edition{7, 2}));
  CHECK(std::get<core::routes_message>(*announced).document.empty());
  const std::optional<core::gateway_message> requested =
      wire::DecodeGatewayMessage(
          wire::EncodeGatewayMessage(core::routes_request{{7, 2}}));
  CHECK(requested.has_value());
  CHECK(std::get<core::routes_request>(*requested).edition ==
        (core::routes_edition{7, 2}));
}

TEST(GatewayCodec, LimitMessagesSurviveRoundTrip) {
  const core::limit_report report{"t", 1700000000123, true, 1.25,
                                  common::milliseconds(40)};
  std::optional<core::gateway_message> decoded =
      wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(report));
  CHECK(decoded.has_value());
  CHECK(std::get<core::limit_report>(*decoded) == report);
  const core::slot_request request{1ULL << 40,
                                   "t",
                                   1700000000123,
                                   1.25,
                                   common::milliseconds(900),
                                   common::milliseconds(30)};
  decoded = wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(request));
  CHECK(decoded.has_value());
  CHECK(std::get<core::slot_request>(*decoded) == request);
  const core::slot_reply reply{1ULL << 40, core::slot_verdict::kNotOwner,
                               common::milliseconds(7)};
  decoded = wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(reply));
  CHECK(decoded.has_value());
  CHECK(std::get<core::slot_reply>(*decoded) == reply);
  decoded = wire::DecodeGatewayMessage(
      wire::EncodeGatewayMessage(core::gateway_view{~0ULL}));
  CHECK(decoded.has_value());
  CHECK(std::get<core::gateway_view>(*decoded).digest == ~0ULL);
}

TEST(GatewayCodec, RejectsSlotRepliesWithAnUnknownVerdict) {
  const core::slot_reply reply{1, static_cast<core::slot_verdict>(9),
                               common::milliseconds(7)};
  CHECK_FALSE(wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(reply))
                  .has_value());
}

TEST(GatewayCodec, MessagesOfLaterVersionsAreUnknownNotMalformed) {
  // A struct as field 40, with one string, as a later version might send.
  const std::string frame("\x0c\x50\x18\x01x\x00\x00", 7);
  const std::optional<core::gateway_message> decoded =
      wire::DecodeGatewayMessage(frame);
  CHECK(decoded.has_value());
  CHECK(std::holds_alternative<core::unknown_gateway_message>(*decoded));
}

TEST(GatewayCodec, RejectsTruncatedFrames) {
  const std::string frame = wire::EncodeGatewayMessage(
      core::stage_outcome_message{"request", 1, true, false, {"h1", "h2"}});
  for (size_t size = 0; size < frame.size(); ++size) {
    CHECK_FALSE(
        wire::DecodeGatewayMessage(std::string_view(frame).substr(0, size))
            .has_value());
  }
}
