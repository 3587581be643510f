#include "core/stages/piece_queue.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using common::milliseconds;

namespace {

constexpr common::time_point kStart{std::chrono::seconds(100)};

core::batch_spec Spec() {
  core::batch_spec spec;
  spec.max_pieces = 4;
  spec.call_time = milliseconds(100);
  spec.piece_time = milliseconds(10);
  spec.result_capacity_bytes = 1000;
  spec.result_lifetime = std::chrono::seconds(4);
  return spec;
}

core::stage_job Job(const std::string& id, uint32_t pieces) {
  core::stage_job job;
  job.request_id = id;
  job.pieces = pieces;
  job.result_bytes = 10;
  job.objective = kStart + milliseconds(1000);
  job.deadline = kStart + milliseconds(5000);
  return job;
}

// Jobs of four pieces that arrive faster than one target can complete them.
constexpr int kOverloadJobs = 20;
constexpr common::duration kOverloadInterval = milliseconds(100);

core::stage_job InTimeJob(const std::string& id, common::time_point now) {
  core::stage_job job = Job(id, 4);
  job.objective = job.deadline = now + std::chrono::seconds(10);
  return job;
}

std::vector<core::piece_result> Completed(const core::piece_batch& batch,
                                          const std::string& name) {
  std::vector<core::piece_result> results;
  for (size_t i = 0; i < batch.pieces.size(); ++i) {
    results.push_back(
        {core::piece_outcome::kCompleted, name + "/" + std::to_string(i)});
  }
  return results;
}

std::vector<core::piece_result> AllWith(const core::piece_batch& batch,
                                        core::piece_outcome outcome) {
  return std::vector<core::piece_result>(batch.pieces.size(), {outcome, ""});
}

}  // namespace

TEST_GROUP(PieceQueue) {
  core::piece_queue queue{Spec()};
  core::target_directory::pool targets;

  void setup() override { targets = {Target("t1", "a")}; }

  static std::shared_ptr<core::fleet_target> Target(const std::string& id,
                                                    const std::string& centre) {
    std::shared_ptr<core::fleet_target> created =
        std::make_shared<core::fleet_target>();
    created->entry.id = id;
    created->entry.data_centre = centre;
    return created;
  }

  core::piece_batch Next(common::time_point now = kStart) {
    std::optional<core::piece_batch> batch = queue.Next(targets, now);
    CHECK(batch.has_value());
    return batch ? *batch : core::piece_batch();
  }

  static std::vector<std::string> Requests(const core::piece_batch& batch) {
    std::vector<std::string> ids;
    for (const core::piece_ref& piece : batch.pieces) {
      ids.push_back(piece.request_id);
    }
    return ids;
  }
};

TEST(PieceQueue, ACallBatchesPiecesOfSeveralRequests) {
  queue.Add(Job("r1", 1), kStart);
  queue.Add(Job("r2", 2), kStart);
  const core::piece_batch batch = Next();
  CHECK_EQUAL(3, batch.pieces.size());
  CHECK(!queue.Next(targets, kStart).has_value());
}

TEST(PieceQueue, AJobThatFitsOneCallIsNotSplit) {
  queue.Add(Job("r1", 3), kStart);
  queue.Add(Job("r2", 1), kStart);
  CHECK_EQUAL(4, Next().pieces.size());
  queue.Add(Job("r3", 3), kStart);
  targets.push_back(Target("t2", "a"));
  CHECK_EQUAL(3, Next().pieces.size());
}

TEST(PieceQueue, AJobCompletesOnceAllItsPiecesHave) {
  queue.Add(Job("r1", 2), kStart);
  const core::piece_batch batch = Next();
  std::vector<core::piece_result> results = Completed(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  CHECK(queue.OnCallEnd(batch, results, milliseconds(110), kStart).empty());
  const core::piece_batch again = Next();
  CHECK_EQUAL(1, again.pieces.size());
  CHECK_EQUAL(1, again.pieces[0].piece);
  const std::vector<core::stage_job_outcome> outcomes =
      queue.OnCallEnd(again, Completed(again, "k"), milliseconds(110), kStart);
  CHECK_EQUAL(1, outcomes.size());
  CHECK(outcomes[0].completed);
  CHECK_EQUAL("h/0", outcomes[0].handles[0]);
  CHECK_EQUAL("k/0", outcomes[0].handles[1]);
}

TEST(PieceQueue, ADuplicateResultOfAPieceIsReleased) {
  // A job is submitted again while a call with its pieces is in progress.
  core::stage_job job = Job("r1", 2);
  queue.Add(job, kStart);
  const core::piece_batch old_call = Next();
  queue.Add(job, kStart);
  targets.push_back(Target("t2", "a"));
  const core::piece_batch new_call = Next();
  std::vector<core::piece_result> first_only = Completed(old_call, "old");
  first_only[1] = {core::piece_outcome::kLost, ""};
  CHECK(
      queue.OnCallEnd(old_call, first_only, milliseconds(110), kStart).empty());
  const std::vector<core::stage_job_outcome> outcomes = queue.OnCallEnd(
      new_call, Completed(new_call, "new"), milliseconds(110), kStart);
  const auto completed_job = std::find_if(
      outcomes.begin(), outcomes.end(),
      [](const core::stage_job_outcome& outcome) { return outcome.completed; });
  CHECK(completed_job != outcomes.end());
  CHECK_EQUAL("old/0", completed_job->handles[0]);
  CHECK_EQUAL("new/1", completed_job->handles[1]);
  // The second result of the first piece is returned for release.
  const auto surplus = std::find_if(outcomes.begin(), outcomes.end(),
                                    [](const core::stage_job_outcome& outcome) {
                                      return !outcome.completed;
                                    });
  CHECK(surplus != outcomes.end());
  CHECK_EQUAL("new/0", surplus->handles[0]);
}

TEST(PieceQueue, StagesOfOneRequestAreSeparateJobs) {
  core::stage_job second = Job("r1", 1);
  second.stage = 1;
  queue.Add(Job("r1", 1), kStart);
  queue.Add(second, kStart);
  const core::piece_batch batch = Next();
  CHECK_EQUAL(2, batch.pieces.size());
  CHECK_EQUAL(
      2,
      queue.OnCallEnd(batch, Completed(batch, "h"), milliseconds(120), kStart)
          .size());
}

TEST(PieceQueue, ResultCapacityIsReservedUntilReleased) {
  core::stage_job large = Job("r1", 1);
  large.result_bytes = 600;
  queue.Add(large, kStart);
  const core::piece_batch batch = Next();
  queue.OnCallEnd(batch, Completed(batch, "h"), milliseconds(110), kStart);
  large.request_id = "r2";
  queue.Add(large, kStart);
  CHECK(!queue.Next(targets, kStart).has_value());
  const std::vector<std::string> released = {"h/0"};
  queue.Free(released, kStart);
  CHECK(queue.Next(targets, kStart).has_value());
}

TEST(PieceQueue, JobsInTimeGoBeforeLateOnes) {
  core::stage_job late = Job("late", 4);
  late.objective = kStart + milliseconds(50);
  queue.Add(late, kStart);
  queue.Add(Job("good", 4), kStart);
  CHECK_EQUAL("good", Requests(Next())[0]);
}

TEST(PieceQueue, JobsOfHigherPriorityGoFirst) {
  core::stage_job urgent = Job("urgent", 4);
  core::stage_job usual = Job("usual", 4);
  usual.priority = 2;
  queue.Add(usual, kStart);
  queue.Add(urgent, kStart);
  CHECK_EQUAL("urgent", Requests(Next())[0]);
}

TEST(PieceQueue, AJobWaitsBrieflyForATargetInTheDataCentreOfItsInputs) {
  core::stage_job job = Job("r1", 1);
  job.data_centre = "b";
  job.remote_input_bytes = 5000000;
  queue.Add(job, kStart);
  CHECK(!queue.Next(targets, kStart).has_value());
  // The duration of a full call, within which a target there becomes free.
  CHECK(!queue.Next(targets, kStart + milliseconds(139)).has_value());
  CHECK(queue.Next(targets, kStart + milliseconds(140)).has_value());
}

TEST(PieceQueue, JobsOfTheTargetsDataCentreGoFirst) {
  core::stage_job other = Job("other", 4);
  other.data_centre = "b";
  core::stage_job local_job = Job("here", 4);
  local_job.data_centre = "a";
  local_job.objective = kStart + milliseconds(2000);
  queue.Add(other, kStart);
  queue.Add(local_job, kStart);
  CHECK_EQUAL("here", Requests(Next())[0]);
}

TEST(PieceQueue, ATargetIsEjectedAfterALostCall) {
  queue.Add(Job("r1", 1), kStart);
  const core::piece_batch batch = Next();
  queue.OnCallEnd(batch, AllWith(batch, core::piece_outcome::kLost),
                  milliseconds(700), kStart);
  CHECK(!queue.Next(targets, kStart + milliseconds(100)).has_value());
  CHECK(queue.Next(targets, kStart + milliseconds(600)).has_value());
}

TEST(PieceQueue, AJobThatFailsTooOftenEndsAndReturnsItsResults) {
  queue.Add(Job("r1", 2), kStart);
  common::time_point now = kStart;
  core::piece_batch batch = Next(now);
  std::vector<core::piece_result> results = Completed(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  std::vector<core::stage_job_outcome> outcomes;
  for (int tries = 0; tries < 8 && outcomes.empty(); ++tries) {
    outcomes = queue.OnCallEnd(batch, results, milliseconds(110), now);
    now += milliseconds(100);
    if (outcomes.empty()) batch = Next(now);
    results = AllWith(batch, core::piece_outcome::kError);
  }
  CHECK_EQUAL(1, outcomes.size());
  CHECK(!outcomes[0].completed);
  CHECK_EQUAL("h/0", outcomes[0].handles[0]);
}

TEST(PieceQueue, CancelReturnsTheResultsOfAJob) {
  queue.Add(Job("r1", 2), kStart);
  const core::piece_batch batch = Next();
  std::vector<core::piece_result> results = Completed(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  queue.OnCallEnd(batch, results, milliseconds(110), kStart);
  const std::vector<std::string> returned = queue.Cancel("r1");
  CHECK_EQUAL(1, returned.size());
  CHECK_EQUAL(0, queue.queued_pieces());
}

// The owner of a queue kept an entry for each job that had completed, until its
// memory reached the limit of its VM.
TEST(PieceQueue, AMillionJobsLeaveNothingBehind) {
  constexpr int kJobs = 1000000;
  common::time_point now = kStart;
  for (int i = 0; i < kJobs; ++i) {
    now += milliseconds(10);
    const std::string id = std::to_string(i);
    core::stage_job job = InTimeJob(id, now);
    job.origin = "g1";
    job.pieces = 1;
    queue.Announce({id, "", 0, 1, 0, job.objective});
    queue.Announce({id, "", 1, 1, 0, now + milliseconds(500)});
    queue.Add(job, now);
    const core::piece_batch batch = Next(now);
    const std::vector<core::stage_job_outcome> ended =
        queue.OnCallEnd(batch, Completed(batch, id), milliseconds(9), now);
    CHECK_EQUAL(1, ended.size());
    CHECK_EQUAL("g1", ended[0].origin);
    queue.Free(ended[0].handles, now);
    CHECK(queue.announced_jobs() < 100);
  }
  queue.DropExpired(now + std::chrono::seconds(10));
  CHECK_EQUAL(0, queue.jobs());
  CHECK_EQUAL(0, queue.announced_jobs());
  CHECK_EQUAL(0, queue.results());
  CHECK_EQUAL(0, queue.calls());
  CHECK(queue.RequestsFrom("g1").empty());
}

TEST(PieceQueue, JobsOfALostGatewayAreFoundByIt) {
  for (const char* id : {"r1", "r2", "r3"}) {
    core::stage_job job = Job(id, 1);
    job.origin = id[1] == '2' ? "g2" : "g1";
    queue.Add(job, kStart);
  }
  CHECK((queue.RequestsFrom("g1") == std::set<std::string>{"r1", "r3"}));
}

TEST(PieceQueue, JobsExpireWhenTheirDeadlineCannotBeMet) {
  core::stage_job job = Job("r1", 1);
  job.deadline = kStart + milliseconds(200);
  queue.Add(job, kStart);
  CHECK(queue.TakeExpired(kStart).empty());
  const std::vector<core::stage_job_outcome> outcomes =
      queue.TakeExpired(kStart + milliseconds(150));
  CHECK_EQUAL(1, outcomes.size());
  CHECK(outcomes[0].failure == core::piece_outcome::kExpired);
}

TEST(PieceQueue, AnnouncedJobsCountAsAheadOfNewOnes) {
  queue.Announce({"r9", "sketches", 1, 3, 0, kStart + milliseconds(500)});
  CHECK_EQUAL(3, queue.Load(targets, kStart).ahead[0]);
  core::stage_job job = Job("r9", 3);
  job.stage = 1;
  queue.Add(job, kStart);
  CHECK_EQUAL(3, queue.Load(targets, kStart).ahead[0]);
  queue.Cancel("r9");
  CHECK_EQUAL(0, queue.Load(targets, kStart).ahead[0]);
}

TEST(PieceQueue, JobsOfLowerPriorityAreNotAheadOfHigherOnes) {
  core::stage_job job = Job("r1", 2);
  job.priority = 2;
  queue.Add(job, kStart);
  const core::service_load load = queue.Load(targets, kStart);
  CHECK_EQUAL(0, load.ahead[0]);
  CHECK_EQUAL(2, load.ahead[2]);
}

TEST(PieceQueue, PiecesOfAnOverdueCallAreSentToAnotherTarget) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Job("r1", 2), kStart);
  const core::piece_batch slow = Next();
  queue.OnOverdue(slow, milliseconds(400));
  const core::piece_batch second = Next(kStart + milliseconds(400));
  CHECK(second.target != slow.target);
  CHECK_EQUAL(2, second.pieces.size());
  const std::vector<core::stage_job_outcome> outcomes =
      queue.OnCallEnd(second, Completed(second, "new"), milliseconds(110),
                      kStart + milliseconds(510));
  CHECK_EQUAL(1, outcomes.size());
  CHECK(outcomes[0].completed);
  // The results of the overdue call are returned for release.
  for (const core::stage_job_outcome& outcome :
       queue.OnCallEnd(slow, Completed(slow, "old"), milliseconds(600),
                       kStart + milliseconds(600))) {
    CHECK(!outcome.completed);
    CHECK_EQUAL(1, outcome.handles.size());
  }
}

TEST(PieceQueue, ASlowTargetIsSkippedWhileWaitingIsFaster) {
  targets.push_back(Target("t2", "a"));
  targets[0]->slowness = 5;
  targets[0]->slowness_updated = kStart;
  queue.Add(Job("r1", 4), kStart);
  CHECK(Next().target == targets[1]);
  queue.Add(Job("r2", 4), kStart);
  CHECK(!queue.Next(targets, kStart + milliseconds(10)).has_value());
  // With a long queue even a slow call pays off.
  for (int i = 3; i < 12; ++i) {
    queue.Add(Job("r" + std::to_string(i), 4), kStart);
  }
  CHECK(queue.Next(targets, kStart + milliseconds(20)).has_value());
}

TEST(PieceQueue, CallsAreSpacedEvenlyOverTheTargets) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Job("r1", 1), kStart);
  const core::piece_batch first = Next();
  queue.OnCallEnd(first, Completed(first, "h"), milliseconds(200),
                  kStart + milliseconds(200));
  const common::time_point now = kStart + milliseconds(200);
  queue.Add(Job("r2", 1), now);
  CHECK(queue.Next(targets, now).has_value());
  queue.Add(Job("r3", 1), now);
  CHECK(!queue.Next(targets, now + milliseconds(50)).has_value());
  queue.Add(Job("r4", 1), now + milliseconds(60));
  const core::piece_batch together = Next(now + milliseconds(100));
  CHECK_EQUAL(2, together.pieces.size());
}

TEST(PieceQueue, AFullBatchIsNotDelayed) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Job("r1", 1), kStart);
  const core::piece_batch first = Next();
  queue.OnCallEnd(first, Completed(first, "h"), milliseconds(200),
                  kStart + milliseconds(200));
  const common::time_point now = kStart + milliseconds(200);
  queue.Add(Job("r2", 1), now);
  CHECK(queue.Next(targets, now).has_value());
  queue.Add(Job("r3", 4), now);
  CHECK(queue.Next(targets, now + milliseconds(5)).has_value());
}

TEST(PieceQueue, BatchingSustainsALoadThatSingleCallsCannot) {
  // 12.5 requests of two pieces a second on one target: calls of 120 ms for one
  // request complete 17 pieces a second, full calls of 140 ms 28.
  size_t completed_jobs = 0;
  common::time_point free_at = kStart;
  std::optional<core::piece_batch> running;
  for (int step = 0; step < 400; ++step) {
    const common::time_point now = kStart + milliseconds(10) * step;
    if (step % 8 == 0) {
      core::stage_job job = Job("r" + std::to_string(step), 2);
      job.objective = now + milliseconds(600);
      job.deadline = now + milliseconds(60000);
      queue.Add(job, now);
    }
    if (running && now >= free_at) {
      completed_jobs +=
          queue
              .OnCallEnd(*running, Completed(*running, std::to_string(step)),
                         running->expected, now)
              .size();
      running.reset();
    }
    if (running) continue;
    running = queue.Next(targets, now);
    if (running) free_at = now + running->expected;
  }
  CHECK(completed_jobs > 45);
}

TEST(PieceQueue, LateJobsGetTheThroughputThatJobsInTimeLeave) {
  constexpr double kFullRate = 4.0 / 0.14;
  common::time_point now = kStart;
  for (int i = 0; i < kOverloadJobs; ++i) {
    now += kOverloadInterval;
    queue.Add(InTimeJob(std::to_string(i), now), now);
  }
  CHECK(queue.Load(targets, now).late_pieces_per_s < kFullRate * 0.05);
  now += std::chrono::seconds(5);
  CHECK(queue.Load(targets, now).late_pieces_per_s > kFullRate * 0.95);
}

TEST(PieceQueue, ALateJobThatCannotGetItsTurnInTimeExpiresAtOnce) {
  common::time_point now = kStart;
  for (int i = 0; i < kOverloadJobs; ++i) {
    now += kOverloadInterval;
    queue.Add(InTimeJob(std::to_string(i), now), now);
    if (i >= kOverloadJobs / 2) continue;
    // A new target each time takes the first half of the jobs.
    Next(now);
    targets = {Target(std::to_string(i), "a")};
  }
  for (const char* id : {"first", "second"}) {
    core::stage_job late = Job(id, 8);
    late.late = true;
    late.deadline = now + std::chrono::seconds(5);
    queue.Add(late, now);
  }
  const std::vector<core::stage_job_outcome> expired = queue.TakeExpired(now);
  CHECK(expired.size() == 1);
  STRCMP_EQUAL("second", expired[0].request_id.c_str());
  CHECK(expired[0].failure == core::piece_outcome::kExpired);
}

TEST(PieceQueue, JobsThatTurnedLateGoBeforeThoseThatArrivedLate) {
  core::stage_job arrived_late = Job("came-late", 4);
  arrived_late.late = true;
  arrived_late.objective = kStart - milliseconds(500);
  core::stage_job turned_late = Job("turned-late", 4);
  turned_late.objective = kStart + milliseconds(200);
  queue.Add(arrived_late, kStart);
  queue.Add(turned_late, kStart);
  const core::piece_batch batch = Next(kStart + milliseconds(300));
  STRCMP_EQUAL("turned-late", batch.pieces[0].request_id.c_str());
}

// After all gateways were killed, targets are full of results that nobody
// knows: calls end at once, without memory for their pieces.
TEST(PieceQueue, CallsWithoutMemoryDoNotCountAsCallTimes) {
  queue.Add(Job("r1", 4), kStart);
  const core::piece_batch first = Next();
  const common::time_point end = kStart + milliseconds(140);
  queue.OnCallEnd(first, Completed(first, "t1"), milliseconds(140), end);
  CHECK(queue.Load(targets, end).call_time == milliseconds(140));
  common::time_point now = end;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(70);
    queue.Add(Job("r2", 4), now);
    const core::piece_batch denied = Next(now);
    queue.OnCallEnd(denied, AllWith(denied, core::piece_outcome::kNoRoom),
                    milliseconds(8), now);
  }
  CHECK(queue.Load(targets, now).call_time == milliseconds(140));
}

// A replay of a burst of jobs with large results, which their requests need for
// a while: the memory of the targets is their bound, not their time.
TEST(PieceQueue, TheThroughputIsWhatTheMemoryAllows) {
  constexpr uint64_t kLargeResultBytes = 250;
  constexpr common::duration kCallTime = milliseconds(140);
  constexpr common::duration kNeededFor = milliseconds(860);
  constexpr int kCalls = 60;
  std::vector<std::pair<common::time_point, std::vector<std::string>>> needed;
  common::time_point now = kStart;
  size_t completed = 0;
  for (int job = 0; job < kCalls; ++job) {
    core::stage_job added = InTimeJob("r" + std::to_string(job), now);
    added.result_bytes = kLargeResultBytes;
    queue.Add(added, now);
  }
  const common::time_point end = kStart + std::chrono::seconds(20);
  while (now < end) {
    std::erase_if(needed, [&](const auto& each) {
      if (each.first > now) return false;
      queue.Free(each.second, now);
      return true;
    });
    const std::optional<core::piece_batch> batch = queue.Next(targets, now);
    if (!batch) {
      now += milliseconds(10);
      continue;
    }
    now += kCallTime;
    const std::vector<core::piece_result> results =
        Completed(*batch, "t1/" + std::to_string(completed));
    std::vector<std::string> handles;
    handles.reserve(results.size());
    for (const core::piece_result& each : results) {
      handles.push_back(each.handle);
    }
    completed += results.size();
    needed.emplace_back(now + kNeededFor, handles);
    queue.OnCallEnd(*batch, results, kCallTime, now);
  }
  // Four results of 250 bytes fit, each for a second; by time it would be 28.
  const double actual = static_cast<double>(completed) / 20;
  DOUBLES_EQUAL(actual, queue.Load(targets, now).pieces_per_s, 0.2 * actual);
}
