#include "core/limits/target_slots.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetSlots) {
  struct peers final : public core::limit_peers {
    const std::string& name() const override { return own; }
    std::string OwnerOf(std::string_view) const override { return owner; }
    size_t agreeing() const override { return agree; }
    size_t expected() const override { return expect; }
    bool Send(const std::string&, const core::slot_request& request) override {
      requests.push_back(request);
      return linked;
    }
    bool Send(const std::string&, const core::slot_reply& reply) override {
      replies.push_back(reply);
      return linked;
    }
    std::string own = "self";
    std::string owner = "self";
    size_t agree = 4;
    size_t expect = 4;
    bool linked = true;
    std::vector<core::slot_request> requests;
    std::vector<core::slot_reply> replies;
  };

  fakes::virtual_time time;
  common::seeded_random random{1};
  peers others;
  core::target_limits limits{time};
  core::target_slots slots{
      core::target_slots_options(), limits, others, time, time, random};
  core::target_entry target;
  int granted = 0;
  int denied = 0;

  void setup() override {
    target.id = "t";
    time.Advance(seconds(10));
    limits.SetBegunHandler(
        [this](const std::string& target) { slots.OnLimitBegun(target); });
    limits.SetEndedHandler(
        [this](const std::string& id) { slots.OnLimitEnded(id); });
    Name(2);
  }
  void Name(double per_second) {
    limits.OnResponse(
        target, {{core::limit_statement::kNamed, per_second}, {}, true}, "");
  }
  uint64_t Wait() {
    return slots.Wait(target, seconds(1),
                      [this](const core::slot_outcome& outcome) {
                        (outcome.granted ? granted : denied) += 1;
                        if (outcome.granted) slots.Use(target);
                      });
  }
};

TEST(TargetSlots, OwnerSpacesSlotsEvenly) {
  for (int i = 0; i < 5; ++i) Wait();
  time.Advance(milliseconds(10));
  LONGS_EQUAL(3, denied);
  time.Advance(milliseconds(500));
  LONGS_EQUAL(1, granted);
  time.Advance(milliseconds(500));
  LONGS_EQUAL(2, granted);
  CHECK_FALSE(slots.MaySend(target));
}

// The window over which a target judges its limit reaches back to before that.
TEST(TargetSlots, ANewLimitBeginsWithAPauseForWhatWasJustSent) {
  target.id = "busy";
  others.expect = 1;
  others.agree = 1;
  for (int i = 0; i < 14; ++i) {
    slots.Use(target);
    time.Advance(milliseconds(70));
  }
  Name(2);
  for (int i = 0; i < 58; ++i) {
    Wait();
    time.Advance(milliseconds(50));
  }
  LONGS_EQUAL(0, granted);
  for (int i = 0; i < 160; ++i) {
    Wait();
    time.Advance(milliseconds(50));
  }
  CHECK(granted >= 15);
  CHECK(granted <= 17);
}

TEST(TargetSlots, ALimitOfATargetThatWasHardlyUsedBeginsAtOnce) {
  target.id = "idle";
  slots.Use(target);
  Name(2);
  Wait();
  time.Advance(milliseconds(510));
  LONGS_EQUAL(1, granted);
}

TEST(TargetSlots, UnusedSlotsExpire) {
  slots.Want(target);
  time.Advance(milliseconds(510));
  CHECK(slots.MaySend(target));
  time.Advance(milliseconds(600));
  CHECK_FALSE(slots.MaySend(target));
}

TEST(TargetSlots, ASlotOfACancelledWaitServesAnother) {
  slots.CancelWait(Wait());
  time.Advance(milliseconds(510));
  LONGS_EQUAL(0, granted);
  CHECK(slots.MaySend(target));
}

TEST(TargetSlots, SlotsThatFellDueDuringASuspensionAreNotUsed) {
  Wait();
  time.Pause(seconds(5));
  time.Advance(milliseconds(1));
  LONGS_EQUAL(0, granted);
  LONGS_EQUAL(1, denied);
}

TEST(TargetSlots, WithoutAReplyTheOwnPartIsUsed) {
  others.owner = "other";
  Wait();
  time.Advance(seconds(1));
  // A quarter of 2 a second: the first slot is two seconds away.
  LONGS_EQUAL(1, denied);
  time.Advance(milliseconds(1300));
  Wait();
  time.Advance(seconds(2));
  LONGS_EQUAL(1, granted);
  // A reply that comes too late does not add a slot.
  slots.OnReply("other", {others.requests.front().id,
                          core::slot_verdict::kGranted, milliseconds(0)});
  CHECK_FALSE(slots.MaySend(target));
}

TEST(TargetSlots, OnlyTheOwnerThatWasAskedMayReply) {
  others.owner = "other";
  Wait();
  const core::slot_reply reply{others.requests.front().id,
                               core::slot_verdict::kGranted, milliseconds(1)};
  slots.OnReply("third", reply);
  time.Advance(milliseconds(2));
  LONGS_EQUAL(0, granted);
  slots.OnReply("other", reply);
  slots.OnReply("other", reply);
  time.Advance(milliseconds(2));
  LONGS_EQUAL(1, granted);
}

TEST(TargetSlots, RequestsToAGatewayThatIsNotTheOwnerAreReturned) {
  others.owner = "other";
  slots.OnRequest("third", {7, "t", 0, 2, seconds(1), milliseconds(0)});
  LONGS_EQUAL(1, others.replies.size());
  CHECK(others.replies.front().verdict == core::slot_verdict::kNotOwner);
}

TEST(TargetSlots, ANewOwnerCountsWhatEarlierOnesReserved) {
  slots.OnRequest("third", {7, "t", 0, 2, seconds(1), milliseconds(400)});
  CHECK(others.replies.front().verdict == core::slot_verdict::kGranted);
  LONGS_EQUAL(900, others.replies.front().delay.count());
}

TEST(TargetSlots, MalformedRequestsAndRepliesChangeNothing) {
  for (const double rate : {std::nan(""), 0.0, -3.0}) {
    slots.OnRequest("third", {7, "t", 0, rate, seconds(1), milliseconds(0)});
  }
  LONGS_EQUAL(0, others.replies.size());
  // Times out of range are cut to the horizon.
  slots.OnRequest("third", {8, "t", 0, 1e300, milliseconds(2000000000),
                            milliseconds(-2000000000)});
  slots.OnRequest(
      "third", {9, "t", 0, 1e-300, milliseconds(-1), milliseconds(2000000000)});
  LONGS_EQUAL(2, others.replies.size());
  others.owner = "other";
  Wait();
  slots.OnReply("other",
                {others.requests.back().id, core::slot_verdict::kDenied,
                 milliseconds(-2000000000)});
  slots.OnReply("other", {999, core::slot_verdict::kGranted, milliseconds(0)});
  time.Advance(milliseconds(1));
  LONGS_EQUAL(1, denied);
}

TEST(TargetSlots, TheEndOfALimitReleasesThoseThatWait) {
  Name(0.3);
  Wait();
  Wait();
  Name(1e9);
  time.Advance(milliseconds(1));
  LONGS_EQUAL(2, granted + denied);
  CHECK(slots.MaySend(target));
}
