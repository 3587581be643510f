#include "common/result_code.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using wisteriadale::common::result_code_info;
using wisteriadale::common::ResultCodes;

TEST_GROUP(ResultCode){};

TEST(ResultCode, NumbersAscendAndNamesAreUnique) {
  int last = -1;
  std::set<std::string> names;
  for (const result_code_info& info : ResultCodes()) {
    CHECK(static_cast<int>(info.code) > last);
    last = static_cast<int>(info.code);
    CHECK(names.insert(std::string(info.name)).second);
  }
}
