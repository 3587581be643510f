#include "core/operations/batching_table.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "core/operations/operation_store.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::table_priority;
using core::table_status;

TEST_GROUP(BatchingTable) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::batching_table batching{{64, 1}, rows};
  std::vector<table_status> answers;

  void Write(const std::string& key, uint64_t version) {
    batching.Write(key, version, "v", table_priority::kOperations,
                   [this](const core::table_result& answer) {
                     answers.push_back(answer.status);
                   });
  }
};

TEST(BatchingTable, WritesThatArriveMeanwhileShareATransaction) {
  for (int i = 0; i < 50; ++i) Write("k" + std::to_string(i), 0);
  time.Advance(std::chrono::milliseconds(10));
  CHECK_EQUAL(50, answers.size());
  CHECK_EQUAL(2, rows.writes);
  CHECK_EQUAL(50, rows.rows.size());
}

TEST(BatchingTable, AConflictDoesNotAffectOtherWrites) {
  rows.rows["taken"] = {"taken", "theirs", 3};
  Write("first", 0);
  Write("taken", 0);
  Write("free", 0);
  time.Advance(std::chrono::milliseconds(10));
  CHECK_EQUAL(3, answers.size());
  CHECK_EQUAL(
      1, std::count(answers.begin(), answers.end(), table_status::kConflict));
  STRCMP_EQUAL("theirs", rows.rows["taken"].value.c_str());
  CHECK(rows.rows.contains("free"));
}

TEST(BatchingTable, ALostAnswerAffectsItsBatchAndTheNextIsSent) {
  rows.lost_answer_share = 1;
  Write("a", 0);
  rows.lost_answer_share = 0;
  Write("b", 0);
  Write("c", 0);
  time.Advance(std::chrono::milliseconds(500));
  CHECK(answers[0] == table_status::kUnavailable);
  CHECK(answers[1] == table_status::kOk && answers[2] == table_status::kOk);
  CHECK(rows.rows.contains("a"));
}

TEST(BatchingTable, TwoReservationsOfOneKeyInOneTransactionHaveOneHolder) {
  core::operation_store store{batching, time, time, random};
  Write("busy", 0);
  int reserved = 0;
  int held_by_other = 0;
  for (int i = 0; i < 2; ++i) {
    core::operation_record wanted;
    wanted.digest = "d";
    store.Reserve(
        "operations/parks/k", wanted, time.Now() + std::chrono::seconds(1),
        [&reserved, &held_by_other](const core::reserve_result& answer) {
          if (answer.status == core::reserve_status::kReserved) {
            ++reserved;
          } else if (answer.status == core::reserve_status::kReservedByOther) {
            ++held_by_other;
          }
        });
  }
  time.Advance(std::chrono::milliseconds(100));
  CHECK_EQUAL(1, reserved);
  CHECK_EQUAL(1, held_by_other);
}
