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
  // A process that contends for the lease. Its timers do not fire while time is
  // paused.
  struct process {
    process(const std::string& name, fakes::fake_table& rows,
            fakes::virtual_time& time, common::random_source& random)
        : keeper({"leases/x", name, kTerm}, rows, time, time, random) {}
    core::lease_keeper keeper;
  };
  process a{"a", rows, time, random};
  process b{"b", rows, time, random};

  int HolderCount() const {
    return (a.keeper.Held() ? 1 : 0) + (b.keeper.Held() ? 1 : 0);
  }

  /// Advances time in steps of 10 ms and checks after each that there is at
  /// most one holder.
  /// @return number of steps at which the lease was held
  int AdvanceWithAtMostOneHolder(common::duration by) {
    int held_steps = 0;
    for (common::duration passed{0}; passed < by; passed += 10ms) {
      time.Advance(10ms);
      CHECK(HolderCount() <= 1);
      held_steps += HolderCount();
    }
    return held_steps;
  }
};

TEST(LeaseKeeper, OneOfTwoContendersAcquiresAndKeepsTheLease) {
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(2s);
  CHECK_EQUAL(1, HolderCount());
  const uint64_t epoch = a.keeper.Held() ? a.keeper.epoch() : b.keeper.epoch();
  CHECK_EQUAL(1, epoch);
  // Held at every step for ten minutes, always with the same epoch.
  CHECK_EQUAL(60000, AdvanceWithAtMostOneHolder(600s));
  CHECK_EQUAL(1, a.keeper.Held() ? a.keeper.epoch() : b.keeper.epoch());
}

TEST(LeaseKeeper, LeaseEndsAtTwoThirdsOfTheTermWhenItCannotBeRenewed) {
  a.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(1s);
  CHECK_TRUE(a.keeper.Held());
  rows.down = true;
  AdvanceWithAtMostOneHolder(kTerm * 2 / 3);
  CHECK_FALSE(a.keeper.Held());
}

TEST(LeaseKeeper, HolderSuspendedPastItsTermNoLongerHoldsTheLease) {
  a.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(1s);
  time.Pause(20s);
  CHECK_FALSE(a.keeper.Held());
}

TEST(LeaseKeeper, RenewalAnsweredAfterASuspensionDoesNotExtendTheLease) {
  a.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(1s);
  rows.delay = 500ms;
  time.Advance(kTerm / 6);  // a renewal is in flight
  time.Pause(20s);
  time.Advance(501ms);
  const bool still_held = a.keeper.Held();
  CHECK_FALSE(still_held);
}

TEST(LeaseKeeper, OtherProcessTakesOverWithAHigherEpochAfterARelease) {
  a.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(1s);
  b.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(1s);
  CHECK_TRUE(a.keeper.Held());
  a.keeper.Release();
  CHECK_FALSE(a.keeper.Held());
  AdvanceWithAtMostOneHolder(2s);
  CHECK_TRUE(b.keeper.Held());
  CHECK_EQUAL(2, b.keeper.epoch());
}

TEST(LeaseKeeper, LostAnswersToRenewalsNeverMakeTwoHolders) {
  rows.lost_answer_share = 0.5;
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(20s);
  // Half of the answers are lost; reading the row back shows who holds it.
  const int held_steps = AdvanceWithAtMostOneHolder(300s);
  CHECK(held_steps > 29000);
}

TEST(LeaseKeeper, WritesThatTakeEffectLateNeverMakeTwoHolders) {
  rows.late_write_share = 0.5;
  rows.late_write_delay = 4s;
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(600s);
}

TEST(LeaseKeeper, LeaseEndsDuringAPlatformOutageAndIsAcquiredAgainAfterIt) {
  a.keeper.SetContending(true);
  b.keeper.SetContending(true);
  AdvanceWithAtMostOneHolder(2s);
  rows.down = true;
  AdvanceWithAtMostOneHolder(600s);
  CHECK_EQUAL(0, HolderCount());
  rows.down = false;
  AdvanceWithAtMostOneHolder(15s);
  CHECK_EQUAL(1, HolderCount());
}
