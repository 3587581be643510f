#include "core/lease/lease_keeper.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

constexpr common::duration kTerm = 9s;

}  // namespace

TEST_GROUP(LeaseKeeper) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  // A process with its own clock: a paused one misses its timers.
  struct process {
    process(const std::string& name, fakes::fake_table& rows,
            fakes::virtual_time& time, common::random_source& random)
        : keeper({"leases/x", name, kTerm}, rows, time, time, random) {}
    core::lease_keeper keeper;
  };
  process a{"a", rows, time, random};
  process b{"b", rows, time, random};

  int Holders() const {
    return (a.keeper.Held() ? 1 : 0) + (b.keeper.Held() ? 1 : 0);
  }

  /// Lets time pass and checks at every step that there is one holder at most.
  int Watch(common::duration by) {
    int held = 0;
    for (common::duration passed{0}; passed < by; passed += 10ms) {
      time.Advance(10ms);
      CHECK(Holders() <= 1);
      held += Holders();
    }
    return held;
  }
};

TEST(LeaseKeeper, OneOfTwoHoldsAndKeepsIt) {
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  Watch(2s);
  CHECK_EQUAL(1, Holders());
  const uint64_t epoch = a.keeper.Held() ? a.keeper.epoch() : b.keeper.epoch();
  CHECK_EQUAL(1, epoch);
  // Held at every step for ten minutes, and never by another.
  CHECK_EQUAL(60000, Watch(600s));
  CHECK_EQUAL(1, a.keeper.Held() ? a.keeper.epoch() : b.keeper.epoch());
}

TEST(LeaseKeeper, HolderStopsAtTwoThirdsOfTheTermWhenItCannotRenew) {
  a.keeper.SetContending(true);
  Watch(1s);
  CHECK_TRUE(a.keeper.Held());
  rows.down = true;
  Watch(kTerm * 2 / 3);
  CHECK_FALSE(a.keeper.Held());
}

TEST(LeaseKeeper, HolderPausedPastItsTermWakesWithoutTheLease) {
  a.keeper.SetContending(true);
  Watch(1s);
  time.Pause(20s);
  CHECK_FALSE(a.keeper.Held());
}

TEST(LeaseKeeper, AnswerThatComesAfterThePauseGivesNothing) {
  a.keeper.SetContending(true);
  Watch(1s);
  rows.delay = 500ms;
  time.Advance(kTerm / 6);  // a renewal is on its way
  time.Pause(20s);
  time.Advance(501ms);
  const bool held = a.keeper.Held();
  CHECK_FALSE(held);
}

TEST(LeaseKeeper, OtherTakesOverUnderAHigherEpoch) {
  a.keeper.SetContending(true);
  Watch(1s);
  b.keeper.SetContending(true);
  Watch(1s);
  CHECK_TRUE(a.keeper.Held());
  a.keeper.Release();
  CHECK_FALSE(a.keeper.Held());
  Watch(2s);
  CHECK_TRUE(b.keeper.Held());
  CHECK_EQUAL(2, b.keeper.epoch());
}

TEST(LeaseKeeper, LostRenewalAnswersNeverMakeTwoHolders) {
  rows.lost_answer_share = 0.5;
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  Watch(20s);
  // Half of the answers are lost; the lease is settled by reading back.
  const int held = Watch(300s);
  CHECK(held > 29000);
}

TEST(LeaseKeeper, WritesThatTakeEffectLateNeverMakeTwoHolders) {
  rows.late_write_share = 0.5;
  rows.late_write_delay = 4s;
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  Watch(600s);
}

TEST(LeaseKeeper, PlatformDownAtRenewalEndsTheLeaseAndItComesBack) {
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  Watch(2s);
  rows.down = true;
  Watch(600s);
  CHECK_EQUAL(0, Holders());
  rows.down = false;
  Watch(15s);
  CHECK_EQUAL(1, Holders());
}
