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

TEST(TargetDirectory, ADrainingTargetStaysOutThoughAnOlderViewNamesItReady) {
  core::target_entry entry = Entry("t1", "10.0.0.1:1");
  targets.Update(entry);
  entry.draining = true;
  targets.Update(entry);
  CHECK_EQUAL(0, PoolSize());
  entry.draining = false;
  targets.Update(entry);
  CHECK_EQUAL(0, PoolSize());
}

TEST(TargetDirectory, ALaterStartUnderTheSameIdIsAnotherTarget) {
  targets.Update(Entry("t1", "10.0.0.1:1", 1));
  const std::shared_ptr<core::fleet_target> first = targets.Find("t1");
  targets.MarkLeaving("t1");
  targets.Update(Entry("t1", "10.0.0.1:1", 2));
  CHECK_EQUAL(1, PoolSize());
  CHECK(targets.Find("t1") != first);
  CHECK(first->leaving);
}

TEST(TargetDirectory, AnEntryThatLapsedMayComeBackAsItWas) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  targets.Remove("t1");
  CHECK_EQUAL(0, PoolSize());
  targets.Update(Entry("t1", "10.0.0.1:1"));
  CHECK_EQUAL(1, PoolSize());
}

TEST(TargetDirectory, AFullListRemovesWhatIsMissing) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  targets.Update(Entry("t2", "10.0.0.2:1"));
  const std::vector<core::target_entry> list = {Entry("t2", "10.0.0.2:1")};
  targets.Replace(list);
  CHECK_EQUAL(1, PoolSize());
  POINTERS_EQUAL(nullptr, targets.AtAddress("10.0.0.1:1").get());
}

TEST(TargetDirectory, AnAddressThatIsUsedAgainBelongsToTheNewTarget) {
  targets.Update(Entry("t1", "10.0.0.1:1"));
  core::target_entry other = Entry("t2", "10.0.0.1:1");
  other.service = "second";
  targets.Update(other);
  targets.Remove("t1");
  CHECK_EQUAL("t2", targets.AtAddress("10.0.0.1:1")->entry.id);
}

TEST(TargetDirectory, LeavingIsToldOnce) {
  int told = 0;
  targets.SetLeavingHandler(
      [&told](const core::fleet_target&, core::leaving_reason) { ++told; });
  targets.Update(Entry("t1", "10.0.0.1:1"));
  CHECK(targets.MarkLeaving("t1"));
  CHECK(!targets.MarkLeaving("t1"));
  CHECK_EQUAL(1, told);
}

TEST(TargetDirectory, MoreThanHalfOfTheTargetsRest) {
  const common::time_point now{std::chrono::seconds(100)};
  core::target_directory three;
  for (const char* id : {"r1", "r2", "r3"}) {
    core::target_entry entry;
    entry.id = id;
    entry.service = "books";
    entry.address = id;
    three.Update(entry);
  }
  three.Find("r1")->ejected_until = now + std::chrono::seconds(1);
  CHECK_FALSE(three.MostEjected("books", now));
  three.Find("r2")->ejected_until = now + std::chrono::seconds(1);
  CHECK(three.MostEjected("books", now));
  CHECK_FALSE(three.MostEjected("books", now + std::chrono::seconds(2)));
}
