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

core::stage_job Order(const std::string& id, uint32_t pieces) {
  core::stage_job order;
  order.request_id = id;
  order.pieces = pieces;
  order.result_bytes = 10;
  order.objective = kStart + milliseconds(1000);
  order.deadline = kStart + milliseconds(5000);
  return order;
}

// Orders of four pieces that come faster than one target makes them.
constexpr int kOverload = 20;
constexpr common::duration kOverloadGap = milliseconds(100);

core::stage_job InTime(const std::string& id, common::time_point now) {
  core::stage_job order = Order(id, 4);
  order.objective = order.deadline = now + std::chrono::seconds(10);
  return order;
}

std::vector<core::piece_result> Made(const core::piece_batch& batch,
                                     const std::string& name) {
  std::vector<core::piece_result> results;
  for (size_t i = 0; i < batch.pieces.size(); ++i) {
    results.push_back(
        {core::piece_outcome::kCompleted, name + "/" + std::to_string(i)});
  }
  return results;
}

std::vector<core::piece_result> All(const core::piece_batch& batch,
                                    core::piece_outcome end) {
  return std::vector<core::piece_result>(batch.pieces.size(), {end, ""});
}

}  // namespace

TEST_GROUP(PieceQueue) {
  core::piece_queue queue{Spec()};
  core::target_directory::pool targets;

  void setup() override { targets = {Target("t1", "a")}; }

  static std::shared_ptr<core::fleet_target> Target(const std::string& id,
                                                    const std::string& centre) {
    std::shared_ptr<core::fleet_target> made =
        std::make_shared<core::fleet_target>();
    made->entry.id = id;
    made->entry.data_centre = centre;
    return made;
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

TEST(PieceQueue, ACallTakesWhatIsQueuedOfAllRequests) {
  queue.Add(Order("r1", 1), kStart);
  queue.Add(Order("r2", 2), kStart);
  const core::piece_batch batch = Next();
  CHECK_EQUAL(3, batch.pieces.size());
  CHECK(!queue.Next(targets, kStart).has_value());
}

TEST(PieceQueue, AnOrderThatFitsOneCallIsNotSplit) {
  queue.Add(Order("r1", 3), kStart);
  queue.Add(Order("r2", 1), kStart);
  CHECK_EQUAL(4, Next().pieces.size());
  queue.Add(Order("r3", 3), kStart);
  targets.push_back(Target("t2", "a"));
  CHECK_EQUAL(3, Next().pieces.size());
}

TEST(PieceQueue, TheStageIsMadeOnlyWhenEachPieceIs) {
  queue.Add(Order("r1", 2), kStart);
  const core::piece_batch batch = Next();
  std::vector<core::piece_result> results = Made(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  CHECK(queue.OnCallEnd(batch, results, milliseconds(110), kStart).empty());
  const core::piece_batch again = Next();
  CHECK_EQUAL(1, again.pieces.size());
  CHECK_EQUAL(1, again.pieces[0].piece);
  const std::vector<core::stage_job_outcome> ends =
      queue.OnCallEnd(again, Made(again, "k"), milliseconds(110), kStart);
  CHECK_EQUAL(1, ends.size());
  CHECK(ends[0].made);
  CHECK_EQUAL("h/0", ends[0].handles[0]);
  CHECK_EQUAL("k/0", ends[0].handles[1]);
}

TEST(PieceQueue, ALateCopyOfAPieceDoesNotCountTwice) {
  // An order is asked for again while a call for its first pieces is under way.
  core::stage_job order = Order("r1", 2);
  queue.Add(order, kStart);
  const core::piece_batch old_call = Next();
  queue.Add(order, kStart);
  targets.push_back(Target("t2", "a"));
  const core::piece_batch new_call = Next();
  std::vector<core::piece_result> first_only = Made(old_call, "old");
  first_only[1] = {core::piece_outcome::kLost, ""};
  CHECK(
      queue.OnCallEnd(old_call, first_only, milliseconds(110), kStart).empty());
  const std::vector<core::stage_job_outcome> ends = queue.OnCallEnd(
      new_call, Made(new_call, "new"), milliseconds(110), kStart);
  const auto made =
      std::find_if(ends.begin(), ends.end(),
                   [](const core::stage_job_outcome& end) { return end.made; });
  CHECK(made != ends.end());
  CHECK_EQUAL("old/0", made->handles[0]);
  CHECK_EQUAL("new/1", made->handles[1]);
  // The second copy of the first piece is there to be freed.
  const auto surplus = std::find_if(
      ends.begin(), ends.end(),
      [](const core::stage_job_outcome& end) { return !end.made; });
  CHECK(surplus != ends.end());
  CHECK_EQUAL("new/0", surplus->handles[0]);
}

TEST(PieceQueue, StagesOfOneRequestAreSeparateOrders) {
  core::stage_job second = Order("r1", 1);
  second.stage = 1;
  queue.Add(Order("r1", 1), kStart);
  queue.Add(second, kStart);
  const core::piece_batch batch = Next();
  CHECK_EQUAL(2, batch.pieces.size());
  CHECK_EQUAL(
      2, queue.OnCallEnd(batch, Made(batch, "h"), milliseconds(120), kStart)
             .size());
}

TEST(PieceQueue, RoomIsTakenUntilTheMakerFreedIt) {
  core::stage_job large = Order("r1", 1);
  large.result_bytes = 600;
  queue.Add(large, kStart);
  const core::piece_batch batch = Next();
  queue.OnCallEnd(batch, Made(batch, "h"), milliseconds(110), kStart);
  large.request_id = "r2";
  queue.Add(large, kStart);
  CHECK(!queue.Next(targets, kStart).has_value());
  const std::vector<std::string> freed = {"h/0"};
  queue.Free(freed);
  CHECK(queue.Next(targets, kStart).has_value());
}

TEST(PieceQueue, WhatCanMeetItsObjectiveGoesBeforeWhatCannot) {
  core::stage_job late = Order("late", 4);
  late.objective = kStart + milliseconds(50);
  queue.Add(late, kStart);
  queue.Add(Order("good", 4), kStart);
  CHECK_EQUAL("good", Requests(Next())[0]);
}

TEST(PieceQueue, MoreUrgentOrdersGoFirst) {
  core::stage_job urgent = Order("urgent", 4);
  core::stage_job usual = Order("usual", 4);
  usual.priority = 2;
  queue.Add(usual, kStart);
  queue.Add(urgent, kStart);
  CHECK_EQUAL("urgent", Requests(Next())[0]);
}

TEST(PieceQueue, AnOrderWaitsAWhileForATargetWhereItsInputsAre) {
  core::stage_job order = Order("r1", 1);
  order.data_centre = "b";
  order.remote_input_bytes = 5000000;
  queue.Add(order, kStart);
  CHECK(!queue.Next(targets, kStart).has_value());
  CHECK(queue.Next(targets, kStart + milliseconds(70)).has_value());
}

TEST(PieceQueue, OrdersOfTheTargetsDataCentreAreTakenFirst) {
  core::stage_job other = Order("other", 4);
  other.data_centre = "b";
  core::stage_job here = Order("here", 4);
  here.data_centre = "a";
  here.objective = kStart + milliseconds(2000);
  queue.Add(other, kStart);
  queue.Add(here, kStart);
  CHECK_EQUAL("here", Requests(Next())[0]);
}

TEST(PieceQueue, ATargetThatLosesACallRests) {
  queue.Add(Order("r1", 1), kStart);
  const core::piece_batch batch = Next();
  queue.OnCallEnd(batch, All(batch, core::piece_outcome::kLost),
                  milliseconds(700), kStart);
  CHECK(!queue.Next(targets, kStart + milliseconds(100)).has_value());
  CHECK(queue.Next(targets, kStart + milliseconds(600)).has_value());
}

TEST(PieceQueue, AnOrderThatFailsTooOftenEndsWithItsResultsToBeFreed) {
  queue.Add(Order("r1", 2), kStart);
  common::time_point now = kStart;
  core::piece_batch batch = Next(now);
  std::vector<core::piece_result> results = Made(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  std::vector<core::stage_job_outcome> ends;
  for (int tries = 0; tries < 8 && ends.empty(); ++tries) {
    ends = queue.OnCallEnd(batch, results, milliseconds(110), now);
    now += milliseconds(100);
    if (ends.empty()) batch = Next(now);
    results = All(batch, core::piece_outcome::kError);
  }
  CHECK_EQUAL(1, ends.size());
  CHECK(!ends[0].made);
  CHECK_EQUAL("h/0", ends[0].handles[0]);
}

TEST(PieceQueue, WithdrawnOrdersGiveTheirResultsBack) {
  queue.Add(Order("r1", 2), kStart);
  const core::piece_batch batch = Next();
  std::vector<core::piece_result> results = Made(batch, "h");
  results[1] = {core::piece_outcome::kError, ""};
  queue.OnCallEnd(batch, results, milliseconds(110), kStart);
  const std::vector<std::string> made = queue.Cancel("r1");
  CHECK_EQUAL(1, made.size());
  CHECK_EQUAL(0, queue.queued_pieces());
}

TEST(PieceQueue, OrdersWithoutTimeLeftEnd) {
  core::stage_job order = Order("r1", 1);
  order.deadline = kStart + milliseconds(200);
  queue.Add(order, kStart);
  CHECK(queue.TakeExpired(kStart).empty());
  const std::vector<core::stage_job_outcome> ends =
      queue.TakeExpired(kStart + milliseconds(150));
  CHECK_EQUAL(1, ends.size());
  CHECK(ends[0].failure == core::piece_outcome::kExpired);
}

TEST(PieceQueue, AnnouncedOrdersCountAsAheadOfNewOnes) {
  queue.Announce({"r9", "sketches", 1, 3, 0, kStart + milliseconds(500)});
  CHECK_EQUAL(3, queue.Load(targets, kStart).ahead[0]);
  core::stage_job order = Order("r9", 3);
  order.stage = 1;
  queue.Add(order, kStart);
  CHECK_EQUAL(3, queue.Load(targets, kStart).ahead[0]);
  queue.Cancel("r9");
  CHECK_EQUAL(0, queue.Load(targets, kStart).ahead[0]);
}

TEST(PieceQueue, LessUrgentOrdersAreNotAheadOfMoreUrgentOnes) {
  core::stage_job order = Order("r1", 2);
  order.priority = 2;
  queue.Add(order, kStart);
  const core::service_load load = queue.Load(targets, kStart);
  CHECK_EQUAL(0, load.ahead[0]);
  CHECK_EQUAL(2, load.ahead[2]);
}

TEST(PieceQueue, WhatAnOverdueCallWasToMakeIsMadeElsewhere) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Order("r1", 2), kStart);
  const core::piece_batch slow = Next();
  queue.OnOverdue(slow, milliseconds(400));
  const core::piece_batch second = Next(kStart + milliseconds(400));
  CHECK(second.target != slow.target);
  CHECK_EQUAL(2, second.pieces.size());
  const std::vector<core::stage_job_outcome> ends =
      queue.OnCallEnd(second, Made(second, "new"), milliseconds(110),
                      kStart + milliseconds(510));
  CHECK_EQUAL(1, ends.size());
  CHECK(ends[0].made);
  // What the slow call makes in the end is freed.
  for (const core::stage_job_outcome& end :
       queue.OnCallEnd(slow, Made(slow, "old"), milliseconds(600),
                       kStart + milliseconds(600))) {
    CHECK(!end.made);
    CHECK_EQUAL(1, end.handles.size());
  }
}

TEST(PieceQueue, ASlowTargetIsPassedOverWhileWaitingIsQuicker) {
  targets.push_back(Target("t2", "a"));
  targets[0]->slowness = 5;
  targets[0]->slowness_updated = kStart;
  queue.Add(Order("r1", 4), kStart);
  CHECK(Next().target == targets[1]);
  queue.Add(Order("r2", 4), kStart);
  CHECK(!queue.Next(targets, kStart + milliseconds(10)).has_value());
  // A long queue is worth a slow call, and so is a try after a while.
  for (int i = 3; i < 12; ++i) {
    queue.Add(Order("r" + std::to_string(i), 4), kStart);
  }
  CHECK(queue.Next(targets, kStart + milliseconds(20)).has_value());
}

TEST(PieceQueue, CallsAreSpacedEvenlyOverTheTargets) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Order("r1", 1), kStart);
  const core::piece_batch first = Next();
  queue.OnCallEnd(first, Made(first, "h"), milliseconds(200),
                  kStart + milliseconds(200));
  const common::time_point now = kStart + milliseconds(200);
  queue.Add(Order("r2", 1), now);
  CHECK(queue.Next(targets, now).has_value());
  queue.Add(Order("r3", 1), now);
  CHECK(!queue.Next(targets, now + milliseconds(50)).has_value());
  queue.Add(Order("r4", 1), now + milliseconds(60));
  const core::piece_batch together = Next(now + milliseconds(100));
  CHECK_EQUAL(2, together.pieces.size());
}

TEST(PieceQueue, AFullCallIsNotHeldBack) {
  targets.push_back(Target("t2", "a"));
  queue.Add(Order("r1", 1), kStart);
  const core::piece_batch first = Next();
  queue.OnCallEnd(first, Made(first, "h"), milliseconds(200),
                  kStart + milliseconds(200));
  const common::time_point now = kStart + milliseconds(200);
  queue.Add(Order("r2", 1), now);
  CHECK(queue.Next(targets, now).has_value());
  queue.Add(Order("r3", 4), now);
  CHECK(queue.Next(targets, now + milliseconds(5)).has_value());
}

TEST(PieceQueue, BatchesServeABurstThatSingleCallsCannot) {
  // 40 requests of two pieces a second, one target: single calls of 120 ms
  // make 17 pieces a second, full calls of 140 ms make 28.
  size_t made = 0;
  common::time_point free_at = kStart;
  std::optional<core::piece_batch> running;
  for (int step = 0; step < 400; ++step) {
    const common::time_point now = kStart + milliseconds(10) * step;
    if (step % 8 == 0) {
      core::stage_job order = Order("r" + std::to_string(step), 2);
      order.objective = now + milliseconds(600);
      order.deadline = now + milliseconds(60000);
      queue.Add(order, now);
    }
    if (running && now >= free_at) {
      made += queue
                  .OnCallEnd(*running, Made(*running, std::to_string(step)),
                             running->expected, now)
                  .size();
      running.reset();
    }
    if (running) continue;
    running = queue.Next(targets, now);
    if (running) free_at = now + running->expected;
  }
  CHECK(made > 45);
}

TEST(PieceQueue, LateOrdersGetWhatOrdersInTimeLeave) {
  constexpr double kFullRate = 4.0 / 0.14;
  common::time_point now = kStart;
  for (int i = 0; i < kOverload; ++i) {
    now += kOverloadGap;
    queue.Add(InTime(std::to_string(i), now), now);
  }
  CHECK(queue.Load(targets, now).late_pieces_per_s < kFullRate * 0.05);
  now += std::chrono::seconds(5);
  CHECK(queue.Load(targets, now).late_pieces_per_s > kFullRate * 0.95);
}

TEST(PieceQueue, ALateOrderThatOrdersInTimeLeaveNoRoomForEndsAtOnce) {
  common::time_point now = kStart;
  for (int i = 0; i < kOverload; ++i) {
    now += kOverloadGap;
    queue.Add(InTime(std::to_string(i), now), now);
    if (i >= kOverload / 2) continue;
    // A new target takes the first half of the orders.
    Next(now);
    targets = {Target(std::to_string(i), "a")};
  }
  for (const char* id : {"first", "second"}) {
    core::stage_job late = Order(id, 8);
    late.late = true;
    late.deadline = now + std::chrono::seconds(5);
    queue.Add(late, now);
  }
  const std::vector<core::stage_job_outcome> ended = queue.TakeExpired(now);
  CHECK(ended.size() == 1);
  STRCMP_EQUAL("second", ended[0].request_id.c_str());
  CHECK(ended[0].failure == core::piece_outcome::kExpired);
}

TEST(PieceQueue, OrdersThatTurnedLateGoBeforeThoseThatCameLate) {
  core::stage_job came = Order("came-late", 4);
  came.late = true;
  came.objective = kStart - milliseconds(500);
  core::stage_job turned = Order("turned-late", 4);
  turned.objective = kStart + milliseconds(200);
  queue.Add(came, kStart);
  queue.Add(turned, kStart);
  const core::piece_batch batch = Next(kStart + milliseconds(300));
  STRCMP_EQUAL("turned-late", batch.pieces[0].request_id.c_str());
}
