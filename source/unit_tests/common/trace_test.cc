#include "common/trace.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Trace){};

TEST(Trace, HeaderRoundTrips) {
  common::seeded_random random(7);
  const common::trace_context context = common::ChildOf({}, random);
  const std::optional<common::trace_context> parsed =
      common::ParseTraceparent(context.Header());
  CHECK(parsed.has_value());
  STRCMP_EQUAL(context.trace_id.c_str(), parsed->trace_id.c_str());
  STRCMP_EQUAL(context.span_id.c_str(), parsed->span_id.c_str());
}

TEST(Trace, MalformedHeadersAreRejected) {
  CHECK(!common::ParseTraceparent("").has_value());
  CHECK(!common::ParseTraceparent("00-xyz").has_value());
  CHECK(!common::ParseTraceparent(
             "00-00000000000000000000000000000000-00f067aa0ba902b7-01")
             .has_value());
}
