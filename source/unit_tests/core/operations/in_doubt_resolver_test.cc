#include "core/operations/in_doubt_resolver.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::operation_state;

namespace {

/// Takes every message and answers nothing.
class silent_agent final : public core::agent_sender {
 public:
  bool Send(std::string_view, const core::message&) override { return true; }
};

}  // namespace

TEST_GROUP(InDoubtResolver) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::operation_store operations{rows, time, time, random};
  silent_agent agent;
  core::attempt_table attempts{agent, time, std::chrono::seconds(3)};
  core::in_doubt_resolver resolver{rows, operations, attempts, time};

  std::string Put(int number, operation_state state) {
    std::string key = "operations/parks/k" + std::to_string(number);
    core::operation_record record;
    record.state = state;
    record.token = "t" + std::to_string(number);
    record.target = "orders0";
    record.changed_wall_us = time.WallMicros();
    rows.rows[key] = {key, core::EncodeOperation(record), 1};
    return key;
  }
  std::vector<core::in_doubt_operation> Find(common::duration min_age) {
    std::vector<core::in_doubt_operation> result;
    resolver.Find(
        min_age,
        [&result](
            const std::optional<std::vector<core::in_doubt_operation>>& found) {
          CHECK(found.has_value());
          result = *found;
        });
    time.Advance(std::chrono::seconds(1));
    return result;
  }
  core::in_doubt_result Settle(const std::string& key, bool ran,
                               uint64_t version = 1) {
    core::in_doubt_result result;
    resolver.Settle(
        {key, version, ran, "kari", "asked the yard", "{}"},
        [&result](const core::in_doubt_result& given) { result = given; });
    time.Advance(std::chrono::seconds(1));
    return result;
  }
};

TEST(InDoubtResolver, OldReservedRowsAreFoundAcrossPages) {
  for (int i = 0; i < 1200; ++i) Put(i, operation_state::kDone);
  const std::string last = Put(9999, operation_state::kReserved);
  time.Advance(std::chrono::minutes(1));
  Put(5000, operation_state::kReserved);
  const std::vector<core::in_doubt_operation> found =
      Find(std::chrono::seconds(30));
  CHECK_EQUAL(1, found.size());
  STRCMP_EQUAL(last.c_str(), found[0].row_key.c_str());
  CHECK(found[0].age >= std::chrono::minutes(1));
}

TEST(InDoubtResolver, NotRunByHandWaitsUntilNoDispatchCanBeInFlight) {
  const std::string key = Put(1, operation_state::kReserved);
  CHECK(Settle(key, false).code == common::result_code::kOperationInProgress);
  CHECK(core::DecodeOperation(rows.RowOf(key).value)->state ==
        operation_state::kReserved);
  time.Advance(std::chrono::minutes(5));
  const core::in_doubt_result answer = Settle(key, false);
  CHECK(answer.code == common::result_code::kOk);
  const core::operation_record record =
      *core::DecodeOperation(rows.RowOf(key).value);
  CHECK(record.state == operation_state::kNotRun);
  STRCMP_EQUAL("kari", record.settled_by.c_str());
  STRCMP_EQUAL("asked the yard", record.note.c_str());
}

TEST(InDoubtResolver, TheAgentsAnswerSettlesAtOnce) {
  const std::string key = Put(1, operation_state::kReserved);
  core::in_doubt_result given;
  resolver.Settle(
      {key, 1, false, "kari", "", ""},
      [&given](const core::in_doubt_result& answer) { given = answer; });
  time.Advance(std::chrono::milliseconds(10));
  attempts.OnRevokeAnswer("orders0", {"", "t1", false, true});
  time.Advance(std::chrono::milliseconds(10));
  CHECK(given.code == common::result_code::kOk);
  CHECK(given.record.state == operation_state::kNotRun);
}

TEST(InDoubtResolver, ADecisionOnAChangedRowIsRefused) {
  const std::string done = Put(1, operation_state::kDone);
  CHECK(Settle(done, true).code == common::result_code::kConflict);
  const std::string changed = Put(2, operation_state::kReserved);
  CHECK(Settle(changed, true, 7).code == common::result_code::kConflict);
  CHECK(Settle("operations/parks/none", true).code ==
        common::result_code::kNotFound);
}

TEST(InDoubtResolver, DoneByHandIsWhatLaterRequestsGet) {
  const std::string key = Put(1, operation_state::kReserved);
  CHECK(Settle(key, true).code == common::result_code::kOk);
  CHECK(core::DecodeOperation(rows.RowOf(key).value)->state ==
        operation_state::kDone);
}
