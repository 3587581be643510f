#include "wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Codec){};

TEST(Codec, ExecuteMessageSurvivesRoundTrip) {
  core::execute_message execute;
  execute.attempt_id = "a1";
  execute.organisation = "parks";
  execute.input = "{\"sketch\":\"peacock\"}";
  execute.remaining = common::milliseconds(1234);
  execute.expected_incarnation = 0x7fffffffffffffff;
  const std::optional<core::message> decoded =
      wire::Decode(wire::Encode(execute));
  CHECK(decoded.has_value());
  const core::execute_message& received =
      std::get<core::execute_message>(*decoded);
  STRCMP_EQUAL("a1", received.attempt_id.c_str());
  STRCMP_EQUAL("parks", received.organisation.c_str());
  CHECK_EQUAL(1234, received.remaining.count());
  CHECK(received.expected_incarnation == execute.expected_incarnation);
}

TEST(Codec, RejectsTruncatedFrames) {
  core::chunk_message chunk;
  chunk.attempt_id = "a1";
  chunk.data = "some text";
  const std::string frame = wire::Encode(chunk);
  for (size_t size = 0; size < frame.size(); ++size) {
    CHECK(!wire::Decode(std::string_view(frame).substr(0, size)).has_value());
  }
}

TEST(Codec, ResumeAndRevokeCarryTokenAndWindow) {
  const std::optional<core::message> resume = wire::Decode(
      wire::Encode(core::resume_message{"a1", "parks", 12, "t1", 7}));
  const core::resume_message& resumed = std::get<core::resume_message>(*resume);
  STRCMP_EQUAL("t1", resumed.operation_token.c_str());
  CHECK(resumed.offset == 12 && resumed.token_window == 7);
  const std::optional<core::message> revoke =
      wire::Decode(wire::Encode(core::revoke_message{"a1", "t1", 7}));
  CHECK(std::get<core::revoke_message>(*revoke).token_window == 7);
}
