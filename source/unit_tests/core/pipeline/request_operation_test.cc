// A non-idempotent stage runs at most once, and callers get a true status.
#include <CppUTest/TestHarness.h>

#include <vector>

#include "core/pipeline/request_executor.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::execution_status;
using core::operation_state;

namespace {

constexpr char kRow[] = "operations/parks/k";
constexpr char kDigest[] = "digest";

/// Records what an agent gets; the test gives the answers.
class manual_agent final : public core::agent_sender {
 public:
  bool Send(std::string_view, const core::message& message) override {
    if (const auto* execute = std::get_if<core::execute_message>(&message)) {
      executes.push_back(*execute);
    }
    if (const auto* revoke = std::get_if<core::revoke_message>(&message)) {
      revokes.push_back(*revoke);
    }
    return true;
  }
  std::vector<core::execute_message> executes;
  std::vector<core::revoke_message> revokes;
};

class recording_sink final : public core::request_sink {
 public:
  void OnData(std::string_view) override {}
  void OnEnd(const core::request_result& result) override {
    ends.push_back(result);
  }
  std::vector<core::request_result> ends;
};

std::shared_ptr<core::configuration> BookingConfiguration() {
  std::shared_ptr<core::configuration> made =
      std::make_shared<core::configuration>();
  made->preset = "ordinary";
  made->presets["ordinary"].name = "ordinary";
  core::pipeline_stage encode;
  encode.name = "encode";
  encode.pool = "plain";
  core::pipeline_stage book;
  book.name = "book";
  book.pool = "orders";
  book.idempotent = false;
  made->pipelines["booking"].name = "booking";
  made->pipelines["booking"].stages = {encode, book};
  return made;
}

}  // namespace

TEST_GROUP(RequestOperation) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  core::operation_store operations{rows, time, time, random};
  manual_agent agent;
  core::attempt_table attempts{agent, time, std::chrono::seconds(3)};
  core::target_table targets;
  core::policy_provider policies{time, random, {"r", ""}};
  core::executor_dependencies dependencies{
      time, time, random, targets, policies, attempts, operations, "r"};
  std::shared_ptr<core::configuration> configuration = BookingConfiguration();
  std::shared_ptr<recording_sink> sink = std::make_shared<recording_sink>();

  void setup() override {
    for (const char* pool : {"plain", "orders"}) {
      core::target_view* view =
          targets.FindOrCreate(std::string(pool) + "0", pool, "");
      view->connected = true;
      view->incarnation = 1;
      view->load.token_window = 5;
    }
  }

  void Start() {
    core::request_description description;
    description.id = "request";
    description.organisation = "parks";
    description.body = "{}";
    description.digest = kDigest;
    description.idempotency_key = "k";
    description.deadline = std::chrono::seconds(5);
    description.plan = configuration->pipelines.at("booking");
    description.configuration_in_force = configuration;
    core::request_executor::Create(dependencies, description, sink)->Start();
    time.Advance(std::chrono::milliseconds(20));
  }
  void Answer(common::result_code code, bool begun, const char* result = "{}") {
    core::outcome_message outcome;
    outcome.attempt_id = agent.executes.back().attempt_id;
    outcome.organisation = "parks";
    outcome.code = code;
    outcome.begun = begun;
    outcome.result = result;
    attempts.OnOutcome(
        agent.executes.back().stage == "book" ? "orders0" : "plain0", outcome);
    time.Advance(std::chrono::milliseconds(50));
  }
  void AnswerRevoke(bool begun, bool known) {
    core::revoke_answer_message answer;
    answer.operation_token = agent.revokes.back().operation_token;
    answer.begun = begun;
    answer.known = known;
    attempts.OnRevokeAnswer("orders0", answer);
    time.Advance(std::chrono::milliseconds(10));
  }
  core::operation_record Row() const {
    return core::DecodeOperation(rows.RowOf(kRow).value)
        .value_or(core::operation_record());
  }
  void PutRow(operation_state state, const char* digest) {
    core::operation_record record;
    record.state = state;
    record.token = "theirs";
    record.digest = digest;
    record.target = "orders0";
    record.token_window = 5;
    record.result = "{\"booked\":1}";
    rows.rows[kRow] = {kRow, core::EncodeOperation(record), 1};
  }
  void RunToBooking() {
    Start();
    Answer(common::result_code::kOk, true);
    STRCMP_EQUAL("book", agent.executes.back().stage.c_str());
  }
};

TEST(RequestOperation, AnotherBodyUnderTheKeyIsRefusedBeforeAnythingRuns) {
  PutRow(operation_state::kDone, "other");
  Start();
  CHECK(sink->ends.at(0).code == common::result_code::kKeyReused);
  CHECK(sink->ends.at(0).execution == execution_status::kNotRun);
  CHECK(agent.executes.empty());
}

TEST(RequestOperation, ARepeatedKeyGetsTheRecordedAnswerAndRunsNothing) {
  PutRow(operation_state::kDone, kDigest);
  Start();
  CHECK(sink->ends.at(0).code == common::result_code::kOk);
  CHECK(sink->ends.at(0).replayed);
  STRCMP_EQUAL("{\"booked\":1}", sink->ends.at(0).result.c_str());
  CHECK(agent.executes.empty());
}

TEST(RequestOperation, AKeyThatWasNeverReadIsUnknownNotNotRun) {
  rows.down = true;
  Start();
  time.Advance(std::chrono::seconds(6));
  CHECK(sink->ends.at(0).execution == execution_status::kUnknown);
  CHECK(agent.executes.empty());
}

TEST(RequestOperation, TheTableGoingDownAfterTheReadDispatchesNothing) {
  Start();
  rows.down = true;
  Answer(common::result_code::kOk, true);
  time.Advance(std::chrono::seconds(6));
  CHECK_EQUAL(1, sink->ends.size());
  CHECK_EQUAL(1, agent.executes.size());
  CHECK(sink->ends.at(0).execution == execution_status::kUnknown);
}

TEST(RequestOperation, AReservationThatSucceedsTooLateIsReleased) {
  Start();
  rows.late_write_share = 1;
  rows.late_write_delay = std::chrono::seconds(8);
  Answer(common::result_code::kOk, true);
  time.Advance(std::chrono::seconds(6));
  CHECK_EQUAL(1, sink->ends.size());
  rows.late_write_share = 0;
  time.Advance(std::chrono::seconds(20));
  CHECK(Row().state == operation_state::kNotRun);
  CHECK_EQUAL(1, agent.executes.size());
}

TEST(RequestOperation, AtTheDeadlineAQueuedOperationIsRevokedAndNotRun) {
  RunToBooking();
  time.Advance(std::chrono::seconds(5));
  CHECK(sink->ends.empty());
  AnswerRevoke(false, true);
  CHECK(sink->ends.at(0).execution == execution_status::kNotRun);
  CHECK(Row().state == operation_state::kNotRun);
}

TEST(RequestOperation,
     ASilentAgentAtTheDeadlineIsUnknownAndItsResultIsRecorded) {
  RunToBooking();
  time.Advance(std::chrono::seconds(6));
  CHECK(sink->ends.at(0).execution == execution_status::kUnknown);
  CHECK(Row().state == operation_state::kReserved);
  Answer(common::result_code::kOk, true, "{\"booked\":2}");
  CHECK(Row().state == operation_state::kDone);
  STRCMP_EQUAL("{\"booked\":2}", Row().result.c_str());
  CHECK_EQUAL(1, sink->ends.size());
}

TEST(RequestOperation, ALostAgentMeansUnknownAndNoSecondDispatch) {
  RunToBooking();
  targets.Find("orders0")->incarnation = 2;
  attempts.OnConnected("orders0", 2);
  time.Advance(std::chrono::milliseconds(100));
  AnswerRevoke(false, false);
  time.Advance(std::chrono::seconds(6));
  CHECK(sink->ends.at(0).execution == execution_status::kUnknown);
  CHECK_EQUAL(2, agent.executes.size());
  CHECK(Row().state == operation_state::kReserved);
}

TEST(RequestOperation, ALostResultThatTheAgentRecordedIsAnswered) {
  RunToBooking();
  attempts.OnConnected("orders0", 2);
  core::operation_record record = Row();
  record.state = operation_state::kDone;
  record.result = "{\"booked\":3}";
  rows.rows[kRow] = {kRow, core::EncodeOperation(record), 2};
  time.Advance(std::chrono::seconds(1));
  CHECK(sink->ends.at(0).code == common::result_code::kOk);
  STRCMP_EQUAL("{\"booked\":3}", sink->ends.at(0).result.c_str());
}

TEST(RequestOperation, AReservationOfADeadRouterIsReleasedOnlyByItsAgent) {
  PutRow(operation_state::kReserved, kDigest);
  Start();
  time.Advance(std::chrono::milliseconds(1930));
  CHECK(agent.executes.empty());
  STRCMP_EQUAL("theirs", agent.revokes.at(0).operation_token.c_str());
  AnswerRevoke(false, true);
  time.Advance(std::chrono::milliseconds(500));
  Answer(common::result_code::kOk, true);
  CHECK(agent.executes.back().operation_token != "theirs");
  Answer(common::result_code::kOk, true);
  CHECK(sink->ends.at(0).code == common::result_code::kOk);
  CHECK(Row().state == operation_state::kDone);
}

TEST(RequestOperation, ARowInDoubtStaysInDoubt) {
  PutRow(operation_state::kReserved, kDigest);
  Start();
  time.Advance(std::chrono::milliseconds(2000));
  AnswerRevoke(true, true);
  time.Advance(std::chrono::seconds(4));
  CHECK(sink->ends.at(0).execution == execution_status::kUnknown);
  CHECK(agent.executes.empty());
  CHECK(Row().state == operation_state::kReserved);
}

TEST(RequestOperation, AResultThatIsRecordedAfterTheDeadlineIsAnswered) {
  RunToBooking();
  rows.delay = std::chrono::milliseconds(400);
  time.Advance(std::chrono::milliseconds(4880));
  Answer(common::result_code::kOk, true);
  time.Advance(std::chrono::seconds(2));
  CHECK_EQUAL(1, sink->ends.size());
  CHECK(sink->ends.at(0).code == common::result_code::kOk);
}

TEST(RequestOperation, AResultAtTheDeadlineEndsARequestWithMoreStages) {
  std::vector<core::pipeline_stage>& stages =
      configuration->pipelines["booking"].stages;
  std::swap(stages[0], stages[1]);
  Start();
  STRCMP_EQUAL("book", agent.executes.back().stage.c_str());
  time.Advance(std::chrono::milliseconds(5000));
  CHECK(sink->ends.empty());
  Answer(common::result_code::kOk, true);
  time.Advance(std::chrono::seconds(2));
  CHECK_EQUAL(1, sink->ends.size());
  CHECK(sink->ends.at(0).execution == execution_status::kDone);
}

TEST(RequestOperation, NotRunIsConfirmedByARead) {
  Start();
  // Another request runs the operation while this one's first stage fails.
  PutRow(operation_state::kDone, kDigest);
  Answer(common::result_code::kCancelled, true);
  CHECK(sink->ends.at(0).execution == execution_status::kDone);
}
