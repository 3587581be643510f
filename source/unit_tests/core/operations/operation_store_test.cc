#include "core/operations/operation_store.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(OperationStore) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::operation_store store{rows, time, time, random};

  core::reserve_result Reserve(const std::string& digest) {
    core::operation_record wanted;
    wanted.digest = digest;
    core::reserve_result result;
    store.Reserve(
        "operations/parks/k", wanted, time.Now() + std::chrono::seconds(2),
        [&result](const core::reserve_result& answer) { result = answer; });
    time.Advance(std::chrono::seconds(5));
    return result;
  }
};

TEST(OperationStore, TwoReservationsOfOneKeyHaveOneHolder) {
  CHECK(Reserve("d").status == core::reserve_status::kReserved);
  CHECK(Reserve("d").status == core::reserve_status::kReservedByOther);
}

TEST(OperationStore, ALostAnswerDoesNotLoseTheReservation) {
  rows.lost_answer_share = 1;
  CHECK(Reserve("d").status == core::reserve_status::kTimedOut ||
        rows.RowOf("operations/parks/k").version == 1);
  rows.lost_answer_share = 0;
  CHECK(Reserve("other").status == core::reserve_status::kKeyReused);
}

TEST(OperationStore, TableThatIsDownLeavesTheStateUnknown) {
  rows.down = true;
  CHECK(Reserve("d").status == core::reserve_status::kTimedOut);
}

TEST(OperationStore, ATokenThatWasRevokedMeanwhileIsNotReserved) {
  rows.lost_answer_share = 1;
  core::operation_record wanted;
  wanted.digest = "d";
  core::reserve_result given;
  store.Reserve(
      "operations/parks/k", wanted, time.Now() + std::chrono::seconds(9),
      [&given](const core::reserve_result& answer) { given = answer; });
  // The write took effect but its answer was lost; another router revokes the
  // token.
  rows.lost_answer_share = 0;
  core::table_row& row = rows.rows.at("operations/parks/k");
  core::operation_record freed = *core::DecodeOperation(row.value);
  freed.state = core::operation_state::kNotRun;
  row.value = core::EncodeOperation(freed);
  ++row.version;
  time.Advance(std::chrono::seconds(5));
  CHECK(given.status == core::reserve_status::kReserved);
  CHECK(given.record.token != freed.token);
}

TEST(OperationStore, ARowThatCannotBeDecodedIsNotOverwritten) {
  rows.rows["operations/parks/k"] = {"operations/parks/k", "not JSON", 4};
  CHECK(Reserve("d").status == core::reserve_status::kReservedByOther);
  STRCMP_EQUAL("not JSON", rows.rows["operations/parks/k"].value.c_str());
}

TEST(OperationStore, ASettleOfAChangedRowChangesNothing) {
  const core::reserve_result held = Reserve("d");
  core::operation_record theirs = held.record;
  theirs.token = "another";
  rows.rows["operations/parks/k"] = {"operations/parks/k",
                                     core::EncodeOperation(theirs), 3};
  core::operation_record mine = held.record;
  mine.state = core::operation_state::kDone;
  core::settle_result given;
  store.Settle("operations/parks/k", mine, time.Now() + std::chrono::seconds(2),
               [&given](const core::settle_result& answer) { given = answer; });
  time.Advance(std::chrono::seconds(1));
  CHECK(given.status == core::settle_status::kVersionMismatch);
  CHECK(rows.rows["operations/parks/k"].version == 3);
}
