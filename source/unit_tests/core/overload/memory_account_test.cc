#include "core/overload/memory_account.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using common::held_for;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct fake_holder final : public common::byte_holder {
  void GiveWay() override { gave_way = true; }
  bool gave_way = false;
};

constexpr uint64_t kMegabyte = 1000000;

}  // namespace

TEST_GROUP(MemoryAccount) {
  fakes::virtual_time time;
  std::unique_ptr<core::memory_account> account;

  void setup() override {
    core::memory_account_options options;
    options.budget = 10 * kMegabyte;
    account = std::make_unique<core::memory_account>(options, time);
    time.Advance(seconds(100));
  }
  void Hold(fake_holder * holder, held_for what, uint64_t megabytes,
            common::duration age, common::duration silent) {
    account->Set(*holder, {what, megabytes * kMegabyte, time.Now() - age,
                           time.Now() - silent});
  }
};

TEST(MemoryAccount, NobodyGivesWayWithinTheBudget) {
  fake_holder stalled;
  Hold(&stalled, held_for::kIncoming, 10, seconds(9), seconds(9));
  account->MakeRoom();
  CHECK(!stalled.gave_way);
}

TEST(MemoryAccount, MessagesOfPeersGiveWayLastUnlessTheyStall) {
  fake_holder request;
  fake_holder message;
  Hold(&request, held_for::kIncoming, 6, seconds(3), seconds(0));
  Hold(&message, held_for::kMessage, 6, seconds(1), seconds(0));
  account->MakeRoom();
  CHECK(request.gave_way);
  CHECK(!message.gave_way);
  fake_holder other;
  Hold(&other, held_for::kIncoming, 6, seconds(3), seconds(0));
  Hold(&message, held_for::kMessage, 6, seconds(1), seconds(1));
  account->MakeRoom();
  CHECK(message.gave_way);
  CHECK(!other.gave_way);
}

TEST(MemoryAccount, WhatTakesTheRoomIsTold) {
  fake_holder holder;
  Hold(&holder, held_for::kIncoming, 3, seconds(1), seconds(0));
  LONGS_EQUAL(3 * kMegabyte, account->HeldFor(held_for::kIncoming));
  Hold(&holder, held_for::kRequest, 6, seconds(1), seconds(0));
  LONGS_EQUAL(0, account->HeldFor(held_for::kIncoming));
  LONGS_EQUAL(6 * kMegabyte, account->HeldFor(held_for::kRequest));
  LONGS_EQUAL(account->held(), account->HeldFor(held_for::kRequest));
}

TEST(MemoryAccount, TheLongestSilentRequestGivesWayFirst) {
  fake_holder silent;
  fake_holder longest;
  fake_holder sending;
  Hold(&silent, held_for::kIncoming, 4, seconds(3), seconds(1));
  Hold(&longest, held_for::kIncoming, 4, seconds(3), seconds(2));
  Hold(&sending, held_for::kIncoming, 4, seconds(0), seconds(0));
  account->MakeRoom();
  CHECK(longest.gave_way);
  CHECK(!silent.gave_way);
  CHECK(!sending.gave_way);
  CHECK_EQUAL(8 * kMegabyte, account->held());
}

TEST(MemoryAccount, UnreadResponsesGiveWayBeforeRequestsThatArrive) {
  fake_holder unread;
  fake_holder reading;
  fake_holder sending;
  Hold(&unread, held_for::kResponse, 5, seconds(9), seconds(3));
  Hold(&reading, held_for::kResponse, 5, seconds(9), milliseconds(300));
  Hold(&sending, held_for::kIncoming, 4, seconds(1), milliseconds(10));
  account->MakeRoom();
  CHECK(unread.gave_way);
  CHECK(!reading.gave_way);
  CHECK(!sending.gave_way);
}

TEST(MemoryAccount, OfRequestsThatAllArriveTheNewestGivesWay) {
  fake_holder first;
  fake_holder second;
  fake_holder newest;
  Hold(&first, held_for::kIncoming, 4, seconds(3), milliseconds(5));
  Hold(&newest, held_for::kIncoming, 4, seconds(1), milliseconds(5));
  Hold(&second, held_for::kIncoming, 4, seconds(2), milliseconds(5));
  account->MakeRoom();
  CHECK(newest.gave_way);
  CHECK(!first.gave_way);
  CHECK(!second.gave_way);
}

TEST(MemoryAccount, RequestsInProgressAndSmallOnesAreKept) {
  fake_holder running;
  fake_holder small;
  Hold(&running, held_for::kRequest, 11, seconds(9), seconds(9));
  account->Set(small, {held_for::kIncoming, 600, time.Now(), time.Now()});
  account->MakeRoom();
  CHECK(!running.gave_way);
  CHECK(!small.gave_way);
}

// Each of many grew a little, until all waited for room.
TEST(MemoryAccount, WithoutRoomOneResponseGrowsUntilItEnds) {
  fake_holder first;
  fake_holder newer;
  Hold(&first, held_for::kRequest, 3, seconds(2), seconds(0));
  Hold(&newer, held_for::kRequest, 3, seconds(1), seconds(0));
  CHECK(account->MayGrow(first));
  CHECK(!account->MayGrow(newer));
  CHECK(account->MayGrow(first));
  account->Set(first, {});
  Hold(&newer, held_for::kRequest, 6, seconds(1), seconds(0));
  CHECK(account->MayGrow(newer));
  Hold(&first, held_for::kRequest, 7, seconds(2), seconds(0));
  CHECK(!account->MayGrow(newer));
}

// They took each room that was made for others.
TEST(MemoryAccount, AResponseBehindAnUnreadOneDoesNotGrow) {
  fake_holder unread;
  fake_holder other;
  Hold(&unread, held_for::kRequest, 6, seconds(2), milliseconds(600));
  Hold(&other, held_for::kRequest, 1, seconds(1), seconds(0));
  CHECK(!account->MayGrow(unread));
  CHECK(account->MayGrow(other));
}

// The one whose turn it was waited for its caller, and all others for it.
TEST(MemoryAccount, ATurnThatIsNotUsedPassesOn) {
  fake_holder older;
  fake_holder newer;
  Hold(&older, held_for::kRequest, 3, seconds(2), seconds(0));
  Hold(&newer, held_for::kResponse, 3, seconds(1), seconds(0));
  CHECK(account->MayGrow(newer));
  CHECK(!account->MayGrow(older));
  time.Advance(milliseconds(150));
  CHECK(account->MayGrow(older));
}

TEST(MemoryAccount, WhatStallsMakesRoomForThoseThatWait) {
  fake_holder unread;
  fake_holder waiting;
  Hold(&unread, held_for::kResponse, 7, seconds(9), milliseconds(700));
  Hold(&waiting, held_for::kRequest, 1, seconds(1), seconds(0));
  fake_holder growing;
  Hold(&growing, held_for::kRequest, 1, seconds(0), seconds(0));
  account->MakeRoom();
  CHECK(!unread.gave_way);
  CHECK(account->MayGrow(growing));
  CHECK(!account->MayGrow(waiting));
  account->MakeRoom();
  CHECK(unread.gave_way);
  CHECK(account->MayGrow(waiting));
}

// A crowd of bodies that stop short of their end, beside one that arrives.
TEST(MemoryAccount, ACrowdThatStallsMakesRoom) {
  std::vector<std::unique_ptr<fake_holder>> crowd;
  for (int i = 0; i < 500; ++i) {
    crowd.push_back(std::make_unique<fake_holder>());
    Hold(crowd.back().get(), held_for::kIncoming, 1, seconds(0), seconds(0));
    account->MakeRoom();
    time.Advance(milliseconds(1));
  }
  CHECK(account->held() <= account->budget());
  time.Advance(seconds(1));
  fake_holder upload;
  for (uint64_t megabytes = 1; megabytes <= 8; ++megabytes) {
    Hold(&upload, held_for::kIncoming, megabytes, milliseconds(0),
         milliseconds(0));
    account->MakeRoom();
  }
  CHECK(!upload.gave_way);
  CHECK(account->held() <= account->budget());
}

TEST(MemoryAccount, SmallMachinesHaveRoomForABodyOfTheUsualLimit) {
  CHECK(core::MakeMemoryAccountOptions(64).budget >= 2 * (uint64_t{4} << 20));
  CHECK(core::MakeMemoryAccountOptions(120).budget < 60 * kMegabyte);
}
