#include "core/fleet/target_directory.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

core::target_entry Entry(const std::string& id, const std::string& address,
                         int64_t started_ms = 1) {
  core::target_entry entry;
  entry.id = id;
  entry.service = "plain";
  entry.address = address;
  entry.started_ms = started_ms;
  return entry;
}

}  // namespace

TEST_GROUP(TargetDirectory) {
  core::target_directory targets;

  size_t PoolSize() { return targets.Pool("plain").size(); }
};

TEST(TargetDirectory, AnOutdatedEntryDoesNotBringBackADrainingTarget) {
  core::target_entry entry = Entry("t1", "10.0.0.1:1");
  targets.Update(entry);
  entry.draining = true;
  targets.Update(entry);
  CHECK_EQUAL(0, PoolSize());
  entry.draining = false;
  targets.Update(entry);
  CHECK_EQUAL(0, PoolSize());
}

TEST(TargetDirectory, ARestartWithTheSameIdIsANewTarget) {
  targets.Update(Entry("t1", "10.0.0.1:1", 1));
  const std::shared_ptr<core::fleet_target> first = targets.Find("t1");
  targets.MarkLeaving({"t1"});
  targets.Update(Entry("t1", "10.0.0.1:1", 2));
  CHECK_EQUAL(1, PoolSize());
  CHECK(targets.Find("t1") != first);
  CHECK(first->leaving);
}

TEST(TargetDirectory, AnExpiredEntryMayReturnUnchanged) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  targets.Remove("t1");
  CHECK_EQUAL(0, PoolSize());
  targets.Update(Entry("t1", "10.0.0.1:1"));
  CHECK_EQUAL(1, PoolSize());
}

TEST(TargetDirectory, ARestoredStoreDoesNotBringBackARemovedTarget) {
  const core::target_entry entry = Entry("t1", "10.0.0.1:1");
  targets.Update(entry);
  targets.Remove("t1");
  CHECK(!targets.Update(entry, core::entry_origin::kRestoredStore));
  CHECK_EQUAL(0, PoolSize());
  CHECK(targets.Update(Entry("t1", "10.0.0.1:1", 2),
                       core::entry_origin::kRestoredStore));
  CHECK_EQUAL(1, PoolSize());
}

TEST(TargetDirectory, AReportOfAnEarlierStartDoesNotAffectALaterOne) {
  targets.Update(Entry("t1", "10.0.0.1:1", 2));
  CHECK(!targets.MarkLeaving({"t1", 1}));
  targets.Remove(core::target_start{"t1", 1});
  CHECK_EQUAL(1, PoolSize());
  CHECK(targets.MarkLeaving({"t1", 2}));
  CHECK_EQUAL(0, PoolSize());
}

TEST(TargetDirectory, DeparturesAreToldAndKeptByWhoDidNotSeeThem) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  targets.Update(Entry("t2", "10.0.0.2:1"));
  targets.Update(Entry("t3", "10.0.0.3:1"));
  targets.Remove("t1");
  targets.MarkLeaving({"t2", 1});
  targets.Remove("t3");
  targets.Update(Entry("t3", "10.0.0.3:1"));
  const core::departed_targets departed = targets.RecentDepartures(10);
  CHECK(departed.gone == (std::vector<core::target_start>{{"t1", 1}}));
  CHECK(departed.leaving == (std::vector<core::target_start>{{"t2", 1}}));

  core::target_directory joined;
  joined.MarkLeaving(departed.leaving[0]);
  joined.Remove(departed.gone[0]);
  joined.Update(Entry("t2", "10.0.0.2:1"));
  joined.Update(Entry("t1", "10.0.0.1:1"), core::entry_origin::kRestoredStore);
  CHECK_EQUAL(0, joined.Pool("plain").size());
  joined.Update(Entry("t1", "10.0.0.1:1"));
  CHECK_EQUAL(1, joined.Pool("plain").size());
}

TEST(TargetDirectory, ARestoredStoreDoesNotUndoARestart) {
  targets.Update(Entry("t1", "10.0.0.1:1", 2));
  const std::shared_ptr<core::fleet_target> second = targets.Find("t1");
  CHECK(!targets.Update(Entry("t1", "10.0.0.1:1", 1),
                        core::entry_origin::kRestoredStore));
  CHECK(targets.Find("t1") == second);
  CHECK(!second->leaving);
}

TEST(TargetDirectory, ACompleteListRemovesMissingTargets) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  targets.Update(Entry("t2", "10.0.0.2:1"));
  targets.RemoveMissing({"t2"});
  CHECK_EQUAL(1, PoolSize());
  POINTERS_EQUAL(nullptr, targets.AtAddress("10.0.0.1:1").get());
}

TEST(TargetDirectory, AReusedAddressBelongsToTheNewTarget) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  core::target_entry other = Entry("t2", "10.0.0.1:1");
  other.service = "second";
  targets.Update(other);
  targets.Remove("t1");
  CHECK_EQUAL("t2", targets.AtAddress("10.0.0.1:1")->entry.id);
}

TEST(TargetDirectory, LeavingIsReportedOnce) {
  int reported = 0;
  targets.SetLeavingHandler([&reported](const core::fleet_target&,
                                        core::leaving_reason) { ++reported; });
  targets.Update(Entry("t1", "10.0.0.1:1"));
  CHECK(targets.MarkLeaving({"t1"}));
  CHECK(!targets.MarkLeaving({"t1"}));
  CHECK_EQUAL(1, reported);
}

TEST(TargetDirectory, MostEjectedMeansMoreThanHalf) {
  const common::time_point now{std::chrono::seconds(100)};
  core::target_directory directory;
  for (const char* id : {"r1", "r2", "r3"}) {
    core::target_entry entry;
    entry.id = id;
    entry.service = "books";
    entry.address = id;
    directory.Update(entry);
  }
  directory.Find("r1")->ejected_until = now + std::chrono::seconds(1);
  CHECK_FALSE(directory.MostEjected("books", now));
  directory.Find("r2")->ejected_until = now + std::chrono::seconds(1);
  CHECK(directory.MostEjected("books", now));
  CHECK_FALSE(directory.MostEjected("books", now + std::chrono::seconds(2)));
}
