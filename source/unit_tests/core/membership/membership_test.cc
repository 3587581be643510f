#include "core/membership/membership.h"

#include <CppUTest/TestHarness.h>

#include "core/membership/drain_reasons.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

constexpr int kTargets = 40;

class recording_observer final : public core::member_observer {
 public:
  void OnMemberAddress(const core::vm_entry& member) override {
    address_events.push_back(member);
  }
  void OnLeavingChanged(const core::vm_entry&, bool leaving) override {
    last_leaving = leaving;
  }
  void OnMemberRemoved(const core::vm_entry&) override { ++removed; }

  std::vector<core::vm_entry> address_events;
  bool last_leaving = false;
  int removed = 0;
};

}  // namespace

TEST_GROUP(Membership) {
  fakes::virtual_time time;
  core::target_table targets;
  recording_observer observer;
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

  void SweepEverySecond(int seconds) {
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
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets, members.size());
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, EmptyListRemovesNoUnreachableMember) {
  members.ApplyVmList({});
  for (const core::vm_entry& entry : list) members.OnDisconnected(entry.name);
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets, members.size());
}

TEST(Membership, AbsenceCountsFromTheFirstListWithoutTheMember) {
  members.OnDisconnected("target-0");
  SweepEverySecond(600);
  members.ApplyVmList({list.begin() + 1, list.end()});
  SweepEverySecond(29);
  CHECK_EQUAL(kTargets, members.size());
  SweepEverySecond(2);
  CHECK_EQUAL(kTargets - 1, members.size());
}

TEST(Membership, ReachableTargetsStayWhenTheListIsTruncated) {
  members.ApplyVmList({list[0]});
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, UnreachableTargetStaysWhileItIsListed) {
  members.OnDisconnected("target-3");
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets, members.size());
  CHECK_EQUAL(kTargets - 1, UsableTargets());
  members.OnConnected("target-3", 2);
  CHECK_EQUAL(kTargets, UsableTargets());
}

TEST(Membership, AbsentAndUnreachableTargetIsRemovedAfterTheDelay) {
  members.OnDisconnected("target-0");
  members.ApplyVmList({list.begin() + 1, list.end()});
  SweepEverySecond(29);
  CHECK_EQUAL(kTargets, members.size());
  SweepEverySecond(2);
  CHECK_EQUAL(kTargets - 1, members.size());
  CHECK(targets.Find("target-0") == nullptr);
  CHECK_EQUAL(1, observer.removed);
}

TEST(Membership, RemovalsAreCappedWhenAllMembersAreUnreachable) {
  members.ApplyVmList({list[0]});
  for (const core::vm_entry& entry : list) members.OnDisconnected(entry.name);
  SweepEverySecond(30);
  // At most a tenth of the members is removed in each window of ten seconds.
  CHECK_EQUAL(kTargets - 4, members.size());
  members.ApplyVmList(list);
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets, members.size());
}

TEST(Membership, ListOrHeartbeatCanMarkATargetAsLeaving) {
  list[0].state = core::vm_state::kLeaving;
  members.ApplyVmList(list);
  CHECK_TRUE(observer.last_leaving);
  CHECK_EQUAL(kTargets - 1, UsableTargets());
  core::load_report draining;
  draining.accepting = false;
  members.OnHeartbeat("target-1", draining);
  CHECK_EQUAL(kTargets - 2, UsableTargets());
}

TEST(Membership, AnnouncedTargetIsKeptBeforeItIsListed) {
  core::vm_entry unlisted = list[0];
  unlisted.name = "target-new";
  unlisted.port = 5000;
  observer.address_events.clear();
  members.OnAnnouncement(unlisted);
  CHECK_EQUAL(1, observer.address_events.size());
  members.OnConnected("target-new", 1);
  members.ApplyVmList(list);  // which still lacks it
  SweepEverySecond(600);
  CHECK_EQUAL(kTargets + 1, UsableTargets());
}

TEST(Membership, AnnouncementDoesNotMoveAListedTarget) {
  core::vm_entry forged = list[0];
  forged.port = 6000;
  members.OnAnnouncement(forged);
  CHECK_EQUAL(1000, members.Find("target-0")->port);
}

TEST(Membership, ChangedAddressOfATargetIsReported) {
  observer.address_events.clear();
  list[0].port = 7000;
  members.ApplyVmList(list);
  CHECK_EQUAL(1, observer.address_events.size());
  CHECK_EQUAL(7000, observer.address_events[0].port);
}

TEST(Membership, PresetBeginsAndEndsTheDrainOfADataCentre) {
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
