#include "core/fleet/evacuations.h"

#include <CppUTest/TestHarness.h>

#include "core/fleet/target_directory.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Evacuations) { core::evacuations known; };

TEST(Evacuations, TheLaterStatementHoldsInAnySequence) {
  known.Apply({"a", false, {1, 9}});
  known.Apply({"a", true, {1, 5}});
  CHECK(!known.IsEvacuated("a"));
  known.Apply({"a", true, {1, 12}});
  known.Apply({"a", false, {1, 9}});
  CHECK(known.IsEvacuated("a"));
}

TEST(Evacuations, AStaleListNeitherEndsNorRenewsAnEvacuation) {
  known.Apply({"a", true, {1, 20}});
  known.ApplyAll({}, {1, 10});
  CHECK(known.IsEvacuated("a"));
  known.Apply({"a", false, {1, 30}});
  const core::evacuation listed[] = {{"a", true, {1, 20}}};
  known.ApplyAll(listed, {1, 25});
  CHECK(!known.IsEvacuated("a"));
}

TEST(Evacuations, AListEndsWhatItDoesNotName) {
  known.Apply({"a", true, {1, 5}});
  known.Apply({"b", true, {1, 6}});
  const core::evacuation listed[] = {{"b", true, {1, 6}}};
  known.ApplyAll(listed, {1, 8});
  CHECK(!known.IsEvacuated("a"));
  CHECK(known.IsEvacuated("b"));
}

TEST(Evacuations, AGatewayThatMissedTheStoreLearnsFromAnother) {
  core::evacuations reader;
  reader.Apply({"a", true, {1, 5}});
  reader.Apply({"b", true, {1, 6}});
  reader.Apply({"b", false, {1, 7}});
  known.Apply({"b", true, {1, 6}});
  for (const core::evacuation& each : reader.Statements()) known.Apply(each);
  CHECK(known.IsEvacuated("a"));
  CHECK(!known.IsEvacuated("b"));
}

TEST(Evacuations, ManyNamesAreRefusedAndThoseInForceKept) {
  uint64_t version = 0;
  known.Apply({"in force", true, {1, ++version}});
  for (int i = 0; i < 1000; ++i) {
    known.Apply({"over " + std::to_string(i), true, {1, ++version}});
    known.Apply({"over " + std::to_string(i), false, {1, ++version}});
  }
  CHECK(known.IsEvacuated("in force"));
  CHECK(known.Statements().size() <= 256);
  for (int i = 0; i < 1000; ++i) {
    known.Apply({"more " + std::to_string(i), true, {1, ++version}});
  }
  CHECK(known.IsEvacuated("in force"));
  CHECK(known.Statements().size() <= 256);
  CHECK(!known.Apply({"too many", true, {1, ++version}}));
}

TEST(Evacuations, ChangesAreReportedOnce) {
  int changes = 0;
  known.SetChangeHandler([&](const core::evacuation&) { ++changes; });
  known.Apply({"a", false, {1, 1}});
  known.Apply({"a", true, {1, 2}});
  known.Apply({"a", true, {1, 3}});
  CHECK_EQUAL(1, changes);
}

TEST_GROUP(EvacuatedTargets) {
  core::target_directory targets;
  common::time_point now{common::duration(1000)};

  void Add(const std::string& id, const std::string& data_centre) {
    core::target_entry entry;
    entry.id = id;
    entry.service = "plain";
    entry.address = "10.0.0.1:" + id;
    entry.data_centre = data_centre;
    targets.Update(entry);
  }
};

TEST(EvacuatedTargets, LeaveThePoolUntilTheyAreTakenBack) {
  Add("1", "a");
  Add("2", "b");
  const std::shared_ptr<core::fleet_target> target = targets.Find("1");
  CHECK_EQUAL(1, targets.SetEvacuated("a", true, now));
  CHECK_EQUAL(1, targets.Pool("plain").size());
  CHECK(!target->leaving);
  CHECK(!target->Usable(now));
  targets.SetEvacuated("a", false, now);
  CHECK_EQUAL(2, targets.Pool("plain").size());
  CHECK(target->Usable(now));
  CHECK(target->returned_at == now);
}

TEST(EvacuatedTargets, ATargetThatStartsOrMovesThereGetsNoWork) {
  targets.SetEvacuated("a", true, now);
  Add("1", "a");
  CHECK(targets.AllEvacuated("plain"));
  Add("2", "b");
  CHECK(!targets.AllEvacuated("plain"));
  Add("2", "a");
  CHECK(targets.AllEvacuated("plain"));
  targets.Remove("1");
  targets.Remove("2");
  CHECK(!targets.AllEvacuated("plain"));
}
