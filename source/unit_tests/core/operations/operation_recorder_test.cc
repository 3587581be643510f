#include "core/operations/operation_recorder.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::operation_state;

TEST_GROUP(OperationRecorder) {
  static constexpr char kRow[] = "operations/parks/k";
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::operation_store store{rows, time, time, random};
  core::operation_recorder recorder{{}, store, time, time};

  void EndOperation(operation_state state, bool ran) {
    core::operation_record record;
    record.state = state;
    record.token = "t";
    record.digest = "d";
    rows.rows[kRow] = {kRow, core::EncodeOperation(record), 1};
    core::execute_message execute;
    execute.operation_token = "t";
    execute.operation_key = kRow;
    recorder.OnOperationEnded(execute, ran, "{\"booked\":1}");
  }
  core::operation_record Row() const {
    return *core::DecodeOperation(rows.RowOf(kRow).value);
  }
};

TEST(OperationRecorder, AResultOfALostRouterIsRecorded) {
  EndOperation(operation_state::kReserved, true);
  time.Advance(std::chrono::seconds(4));
  CHECK(Row().state == operation_state::kDone);
  STRCMP_EQUAL("{\"booked\":1}", Row().result.c_str());
  STRCMP_EQUAL("d", Row().digest.c_str());
  CHECK_EQUAL(0, recorder.pending());
}

TEST(OperationRecorder, AResultThatTheRouterRecordedIsNotWritten) {
  EndOperation(operation_state::kDone, true);
  time.Advance(std::chrono::seconds(4));
  CHECK_EQUAL(0, rows.writes);
  CHECK_EQUAL(0, recorder.pending());
}

TEST(OperationRecorder, RecordingContinuesAfterAnOutage) {
  rows.down = true;
  EndOperation(operation_state::kReserved, false);
  time.Advance(std::chrono::seconds(60));
  rows.down = false;
  time.Advance(std::chrono::seconds(3));
  CHECK(Row().state == operation_state::kNotRun);
}

TEST(OperationRecorder, AFlushRecordsAtOnceAndIsBoundedInAnOutage) {
  EndOperation(operation_state::kReserved, true);
  bool flushed = false;
  recorder.Flush(std::chrono::seconds(10), [&flushed] { flushed = true; });
  time.Advance(std::chrono::milliseconds(100));
  CHECK(flushed && Row().state == operation_state::kDone);
  rows.down = true;
  EndOperation(operation_state::kReserved, true);
  flushed = false;
  recorder.Flush(std::chrono::seconds(10), [&flushed] { flushed = true; });
  time.Advance(std::chrono::seconds(9));
  CHECK(!flushed);
  time.Advance(std::chrono::seconds(2));
  CHECK(flushed);
}
