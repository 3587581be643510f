#include "core/operations/operation_log.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(OperationLog) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::operation_log log{rows, time, time, random};

  core::reserve_answer Reserve(const std::string& digest) {
    core::operation_record wanted;
    wanted.digest = digest;
    core::reserve_answer result;
    log.Reserve(
        "operations/parks/k", wanted, time.Now() + std::chrono::seconds(2),
        [&result](const core::reserve_answer& answer) { result = answer; });
    time.Advance(std::chrono::seconds(5));
    return result;
  }
};

TEST(OperationLog, TwoReservationsOfOneKeyHaveOneHolder) {
  CHECK(Reserve("d").status == core::reserve_status::kReserved);
  CHECK(Reserve("d").status == core::reserve_status::kHeldByOther);
}

TEST(OperationLog, LostAnswerIsSettledByReadingBack) {
  rows.lost_answer_share = 1;
  CHECK(Reserve("d").status == core::reserve_status::kNotKnown ||
        rows.RowOf("operations/parks/k").version == 1);
  rows.lost_answer_share = 0;
  CHECK(Reserve("other").status == core::reserve_status::kKeyReused);
}

TEST(OperationLog, TableThatIsDownLeavesTheStateUnknown) {
  rows.down = true;
  CHECK(Reserve("d").status == core::reserve_status::kNotKnown);
}
