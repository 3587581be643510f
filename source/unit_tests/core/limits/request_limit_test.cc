#include "core/limits/request_limit.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(RequestLimit){
    static core::request_limit Parse(std::vector<std::string_view> values){
        return core::ParseRequestLimit(values);
}
}
;

TEST(RequestLimit, IsADecimalNumber) {
  CHECK(Parse({}).statement == core::limit_statement::kNone);
  for (const std::string_view text : {"1.2", " 1.2", "1.20\t"}) {
    const core::request_limit limit = Parse({text});
    CHECK(limit.statement == core::limit_statement::kNamed);
    DOUBLES_EQUAL(1.2, limit.per_second, 1e-9);
  }
  CHECK(Parse({"0"}).statement == core::limit_statement::kNamed);
  DOUBLES_EQUAL(3, Parse({"3"}).per_second, 1e-9);
}

TEST(RequestLimit, TheLowestOfSeveralApplies) {
  DOUBLES_EQUAL(1.2, Parse({"5", "1.2", "7"}).per_second, 1e-9);
}

TEST(RequestLimit, UnusableValuesAreInvalid) {
  for (const std::string_view text :
       {"", " ", "-1", "-0", "nan", "inf", "-inf", "many", "1.2x", "1,2", "1 2",
        "1e3", "0x10"}) {
    CHECK(Parse({text}).statement == core::limit_statement::kInvalid);
  }
  CHECK(Parse({"1.2", "x"}).statement == core::limit_statement::kInvalid);
}
