#include "core/routing/target_subset.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>

#include "core/routing/target_table.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(TargetSubset) {
  core::target_table targets;

  void AddTargets(int count) {
    for (int i = 0; i < count; ++i) {
      targets.FindOrCreate("t" + std::to_string(i), "model", "a");
    }
  }

  static std::vector<core::router_entry> Routers(int count) {
    std::vector<core::router_entry> routers;
    routers.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      routers.push_back({"r" + std::to_string(i), "a"});
    }
    return routers;
  }

  std::vector<core::target_view*> SubsetOf(
      const core::router_entry& router,
      const std::vector<core::router_entry>& routers, size_t size) {
    core::target_subset subset(router, size);
    subset.SetRouters(routers);
    return subset.SubsetFor(*targets.Pool("model")).local;
  }
};

TEST(TargetSubset, SmallPoolIsUsedWhole) {
  AddTargets(20);
  CHECK_EQUAL(20U, SubsetOf({"r0", "a"}, Routers(2), 64).size());
}

TEST(TargetSubset, EveryTargetHasEnoughRouters) {
  AddTargets(600);
  const std::vector<core::router_entry> routers = Routers(40);
  std::map<std::string, int> users;
  size_t largest = 0;
  for (const core::router_entry& router : routers) {
    const std::vector<core::target_view*> chosen =
        SubsetOf(router, routers, 64);
    largest = std::max(largest, chosen.size());
    for (const core::target_view* view : chosen) ++users[view->id];
  }
  CHECK_EQUAL(600U, users.size());
  for (const auto& [id, count] : users) CHECK(count >= 4);
  CHECK(largest < 128);
}

TEST(TargetSubset, RemovingATargetChangesFewAssignments) {
  AddTargets(600);
  const std::vector<core::router_entry> routers = Routers(40);
  std::vector<core::target_view*> before = SubsetOf(routers[3], routers, 64);
  std::erase(before, targets.Find(before.front()->id));
  targets.Erase("t1");
  const std::vector<core::target_view*> after =
      SubsetOf(routers[3], routers, 64);
  int kept = 0;
  for (const core::target_view* view : before) {
    kept += std::find(after.begin(), after.end(), view) != after.end() ? 1 : 0;
  }
  CHECK(kept + 2 >= static_cast<int>(before.size()));
}

TEST(TargetSubset, SubsetFollowsChangesOfThePool) {
  AddTargets(3);
  core::target_subset subset({"r0", "a"}, 64);
  CHECK_EQUAL(3U, subset.SubsetFor(*targets.Pool("model")).local.size());
  targets.FindOrCreate("more", "model", "b");
  CHECK_EQUAL(1U, subset.SubsetFor(*targets.Pool("model")).remote.size());
  targets.Erase("t0");
  CHECK_EQUAL(2U, subset.SubsetFor(*targets.Pool("model")).local.size());
}
