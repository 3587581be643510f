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

// Without the digest a queue's owner counts no lost call against the request.
TEST(GatewayCodec, StageJobSurvivesRoundTrip) {
  core::stage_job_message sent;
  sent.request_id = "r1";
  sent.service = "s";
  sent.organisation = "o";
  sent.stage = 2;
  sent.pieces = 3;
  sent.key = "k";
  sent.inputs = {"h1", "h2"};
  sent.result_bytes = 1ULL << 33;
  sent.priority = 1;
  sent.late = true;
  sent.to_objective = common::milliseconds(700);
  sent.to_deadline = common::milliseconds(-5);
  sent.data_centre = "a";
  sent.remote_input_bytes = 1ULL << 34;
  sent.digest = std::string(64, 'd');
  const std::optional<core::gateway_message> decoded =
      wire::DecodeGatewayMessage(wire::EncodeGatewayMessage(sent));
  CHECK(decoded.has_value());
  const core::stage_job_message& received =
      std::get<core::stage_job_message>(*decoded);
  CHECK_EQUAL(sent.request_id, received.request_id);
  CHECK_EQUAL(sent.service, received.service);
  CHECK_EQUAL(sent.organisation, received.organisation);
  CHECK_EQUAL(sent.stage, received.stage);
  CHECK_EQUAL(sent.pieces, received.pieces);
  CHECK_EQUAL(sent.key, received.key);
  CHECK(sent.inputs == received.inputs);
  CHECK_EQUAL(sent.result_bytes, received.result_bytes);
  CHECK_EQUAL(sent.priority, received.priority);
  CHECK_EQUAL(sent.late, received.late);
  CHECK(sent.to_objective == received.to_objective);
  CHECK(sent.to_deadline == received.to_deadline);
  CHECK_EQUAL(sent.data_centre, received.data_centre);
  CHECK_EQUAL(sent.remote_input_bytes, received.remote_input_bytes);
  CHECK_EQUAL(sent.digest, received.digest);
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
