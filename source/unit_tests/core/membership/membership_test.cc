#include "core/membership/membership.h"

#include <CppUTest/TestHarness.h>

#include "core/membership/drain_reasons.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 40;

class recorder final : public core::member_observer {
 public:
  void OnMemberAddress(const core::vm_entry& member) override {
    dialled.push_back(member);
  }
  void OnLeavingChanged(const core::vm_entry&, bool leaving) override {
    leaving_told = leaving;
  }
  void OnMemberRemoved(const core::vm_entry&) override { ++removed; }

  std::vector<core::vm_entry> dialled;
  bool leaving_told = false;
  int removed = 0;
};

}  // namespace

TEST_GROUP(Membership) {
  fakes::virtual_time time;
  core::target_table targets;
  recorder observer;
  core::membership members{{}, targets, time};
  std::vector<core::vm_entry> list;

  void setup() override {
    members.SetObserver(&observer);
    for (int i = 0; i < kTargets; ++i) {
      core::vm_entry entry;
      entry.name = "target-" + std::to_string(i);
      entry.pool = "model";
      entry.data_centre = i % 2 == 0 ? "a" : "b";
      entry.address = "127.0.0.1";
      entry.port = static_cast<uint16_t>(1000 + i);
      list.push_back(entry);
    }
    members.ApplyVmList(list);
    for (const core::vm_entry& entry : list) {
      members.OnConnected(entry.name, 1);
    }
  }

  void Sweeps(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      time.Advance(1s);
      members.Sweep();
    }
  }

  int UsableTargets() const {
    int usable = 0;
    for (const core::target_view* view : targets.All()) {
      if (view->Usable()) ++usable;
    }
    return usable;
  }
};

TEST(Membership, EmptyListRemovesNothing) {
  members.ApplyVmList({});
  Sweeps(600);
  CHECK_EQUAL(kTargets, members.size());
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, EmptyListRemovesNothingThatIsCutOffEither) {
  members.ApplyVmList({});
  for (const core::vm_entry& entry : list) members.OnDisconnected(entry.name);
  Sweeps(600);
  CHECK_EQUAL(kTargets, members.size());
}

TEST(Membership, AbsenceCountsFromTheListThatFirstLacksIt) {
  members.OnDisconnected("target-0");
  Sweeps(600);
  members.ApplyVmList({list.begin() + 1, list.end()});
  Sweeps(29);
  CHECK_EQUAL(kTargets, members.size());
  Sweeps(2);
  CHECK_EQUAL(kTargets - 1, members.size());
}

TEST(Membership, ShortListKeepsTargetsThatAreReachable) {
  members.ApplyVmList({list[0]});
  Sweeps(600);
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, UnreachableTargetThatIsListedStays) {
  members.OnDisconnected("target-3");
  Sweeps(600);
  CHECK_EQUAL(kTargets, members.size());
  CHECK_EQUAL(kTargets - 1, UsableTargets());
  members.OnConnected("target-3", 2);
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, AbsentAndUnreachableTargetIsRemovedAfterTheDelay) {
  members.OnDisconnected("target-0");
  members.ApplyVmList({list.begin() + 1, list.end()});
  Sweeps(29);
  CHECK_EQUAL(kTargets, members.size());
  Sweeps(2);
  CHECK_EQUAL(kTargets - 1, members.size());
  CHECK(targets.Find("target-0") == nullptr);
  CHECK_EQUAL(1, observer.removed);
}

TEST(Membership, RemovalsAreCappedWhenAllIsCutOff) {
  members.ApplyVmList({list[0]});
  for (const core::vm_entry& entry : list) members.OnDisconnected(entry.name);
  Sweeps(30);
  // A tenth of the members for each window of ten seconds.
  CHECK_EQUAL(kTargets - 4, members.size());
  members.ApplyVmList(list);
  Sweeps(600);
  CHECK_EQUAL(kTargets, members.size());
}

TEST(Membership, EitherSideCanSayLeaving) {
  list[0].state = core::vm_state::kLeaving;
  members.ApplyVmList(list);
  CHECK_TRUE(observer.leaving_told);
  CHECK_EQUAL(kTargets - 1, UsableTargets());
  core::load_report draining;
  draining.accepting = false;
  members.OnHeartbeat("target-1", draining);
  CHECK_EQUAL(kTargets - 2, UsableTargets());
}

TEST(Membership, TargetThatTheListDoesNotKnowYetIsDialled) {
  core::vm_entry fresh = list[0];
  fresh.name = "target-new";
  fresh.port = 5000;
  observer.dialled.clear();
  members.OnAnnouncement(fresh);
  CHECK_EQUAL(1, observer.dialled.size());
  members.OnConnected("target-new", 1);
  members.ApplyVmList(list);  // still without it
  Sweeps(600);
  CHECK_EQUAL(kTargets + 1, UsableTargets());
}

TEST(Membership, AnnouncementDoesNotMoveAListedTarget) {
  core::vm_entry forged = list[0];
  forged.port = 6000;
  members.OnAnnouncement(forged);
  CHECK_EQUAL(1000, members.Find("target-0")->port);
}

TEST(Membership, MovedTargetIsDialledAtItsNewAddress) {
  observer.dialled.clear();
  list[0].port = 7000;
  members.ApplyVmList(list);
  CHECK_EQUAL(1, observer.dialled.size());
  CHECK_EQUAL(7000, observer.dialled[0].port);
}

TEST(Membership, PresetDrainsADataCentreAndEndsTheDrain) {
  CHECK_TRUE(members.SetDrained("target-1", true));
  members.SetDrainedDataCentres({"a"});
  CHECK_EQUAL(kTargets / 2 - 1, UsableTargets());
  members.SetDrainedDataCentres({});
  CHECK_EQUAL(kTargets - 1, UsableTargets());
  CHECK_TRUE(members.SetDrained("target-1", false));
  CHECK_EQUAL(kTargets, UsableTargets());
  CHECK_FALSE(members.SetDrained("nobody", true));
}

TEST(Membership, EndOfOneDrainDoesNotEndAnother) {
  core::drain_reasons reasons;
  CHECK_TRUE(reasons.Set("operator", true));
  CHECK_FALSE(reasons.Set("preset", true));
  CHECK_FALSE(reasons.Set("preset", false));
  CHECK_TRUE(reasons.draining());
  CHECK_TRUE(reasons.Set("operator", false));
}
