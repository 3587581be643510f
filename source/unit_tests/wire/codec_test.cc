#include "wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Codec){};

TEST(Codec, ExecuteSurvivesTheRoundTrip) {
  core::execute_message execute;
  execute.attempt_id = "a1";
  execute.organisation = "parks";
  execute.input = "{\"sketch\":\"peacock\"}";
  execute.remaining = common::milliseconds(1234);
  execute.expected_incarnation = 0x7fffffffffffffff;
  const std::optional<core::message> decoded =
      wire::Decode(wire::Encode(execute));
  CHECK(decoded.has_value());
  const core::execute_message& back = std::get<core::execute_message>(*decoded);
  STRCMP_EQUAL("a1", back.attempt_id.c_str());
  STRCMP_EQUAL("parks", back.organisation.c_str());
  CHECK_EQUAL(1234, back.remaining.count());
  CHECK(back.expected_incarnation == execute.expected_incarnation);
}

TEST(Codec, CutFramesAreRefused) {
  core::chunk_message chunk;
  chunk.attempt_id = "a1";
  chunk.data = "some text";
  const std::string frame = wire::Encode(chunk);
  for (size_t size = 0; size < frame.size(); ++size) {
    CHECK(!wire::Decode(std::string_view(frame).substr(0, size)).has_value());
  }
}
