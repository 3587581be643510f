#include "core/pipeline/attempt_table.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "common/metrics.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

class recording_agent_sender final : public core::agent_sender {
 public:
  bool Send(std::string_view, const core::message& message) override {
    if (std::holds_alternative<core::resume_message>(message)) ++resumes;
    return true;
  }
  int resumes = 0;
};

class recording_attempt final : public core::attempt_observer {
 public:
  void OnChunk(std::string_view, std::string_view data) override {
    text.append(data);
  }
  void OnOutcome(const core::outcome_message& outcome) override {
    outcomes.push_back(outcome);
  }
  void OnLost(std::string_view) override { ++lost; }
  std::string text;
  std::vector<core::outcome_message> outcomes;
  int lost = 0;
};

core::chunk_message Chunk(uint64_t offset, const std::string& data) {
  return {"a", "parks", offset, data};
}

core::outcome_message Outcome(uint64_t stream_bytes) {
  core::outcome_message outcome;
  outcome.attempt_id = "a";
  outcome.organisation = "parks";
  outcome.stream_bytes = stream_bytes;
  outcome.begun = true;
  return outcome;
}

}  // namespace

TEST_GROUP(AttemptTable) {
  fakes::virtual_time time;
  recording_agent_sender sender;
  std::shared_ptr<recording_attempt> observer =
      std::make_shared<recording_attempt>();
  core::attempt_table table{sender, time, std::chrono::seconds(3)};

  void setup() override {
    core::execute_message execute;
    execute.attempt_id = "a";
    execute.organisation = "parks";
    CHECK(table.Start("engine0", 1, execute, observer));
  }
};

TEST(AttemptTable, ForeignResultsAreDroppedAndCounted) {
  const uint64_t before =
      common::Metrics().Counter("wisteria_results_foreign_total");
  core::chunk_message chunk = Chunk(0, "spiral");
  chunk.organisation = "schools";
  table.OnChunk("engine0", chunk);
  table.OnChunk("engine1", Chunk(0, "spiral"));
  core::outcome_message outcome = Outcome(0);
  outcome.organisation = "schools";
  table.OnOutcome("engine0", outcome);
  STRCMP_EQUAL("", observer->text.c_str());
  CHECK(observer->outcomes.empty());
  CHECK_EQUAL(before + 3,
              common::Metrics().Counter("wisteria_results_foreign_total"));
}

TEST(AttemptTable, ReorderedAndRepeatedChunksMakeOneStream) {
  table.OnChunk("engine0", Chunk(0, "abc"));
  table.OnChunk("engine0", Chunk(6, "ghi"));
  table.OnChunk("engine0", Chunk(9, "jkl"));
  CHECK_EQUAL(1, sender.resumes);
  table.OnChunk("engine0", Chunk(3, "defghijkl"));
  table.OnChunk("engine0", Chunk(6, "ghi"));
  table.OnChunk("engine0", Chunk(10, "klm"));
  STRCMP_EQUAL("abcdefghijklm", observer->text.c_str());
  table.OnOutcome("engine0", Outcome(13));
  CHECK(observer->outcomes.at(0).code == common::result_code::kOk);
  CHECK_EQUAL(0, table.size());
}

TEST(AttemptTable, AnIncompleteStreamEndsAsTruncated) {
  table.OnChunk("engine0", Chunk(0, "abc"));
  for (int i = 0; i < 10; ++i) table.OnOutcome("engine0", Outcome(6));
  CHECK_EQUAL(1, observer->outcomes.size());
  CHECK(observer->outcomes.at(0).code == common::result_code::kAnswerCut);
  CHECK(sender.resumes <= 4);
}

TEST(AttemptTable, AStreamLongerThanStatedEndsAsTruncated) {
  table.OnChunk("engine0", Chunk(0, "abcdef"));
  table.OnOutcome("engine0", Outcome(3));
  CHECK(observer->outcomes.at(0).code == common::result_code::kAnswerCut);
}

TEST(AttemptTable, AReconnectResumesAndANewIncarnationLoses) {
  table.OnDisconnected("engine0");
  table.OnConnected("engine0", 1);
  CHECK_EQUAL(1, sender.resumes);
  time.Advance(std::chrono::seconds(10));
  CHECK_EQUAL(0, observer->lost);
  table.OnConnected("engine0", 2);
  CHECK_EQUAL(1, observer->lost);
  CHECK_EQUAL(0, table.size());
}

TEST(AttemptTable, WithoutAReconnectTheAttemptIsLostInTime) {
  table.OnDisconnected("engine0");
  time.Advance(std::chrono::seconds(4));
  CHECK_EQUAL(1, observer->lost);
}

TEST(AttemptTable, ARevokeWithoutAnAnswerIsUnknown) {
  core::token_status status = core::token_status::kNeverRuns;
  table.Revoke("engine0", "t", 1,
               [&status](core::token_status given) { status = given; });
  time.Advance(std::chrono::seconds(1));
  CHECK(status == core::token_status::kUnknown);
}
