#include "unit_tests/core/limits/limit_cluster.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using fakes::limit_cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The stated bound on a window of 4 s.
size_t Allowed(double limit) {
  return static_cast<size_t>(1.5 * 4 * limit + 5);
}

// From this long after a target first named its limit, the bound holds.
constexpr seconds kContact(3);

}  // namespace

TEST_GROUP(LimitCluster){
    /// Advances time with faults at random: gateways that are killed, restarted
    /// and paused, and cuts, in series and overlapping.
    static void RunWithFaults(limit_cluster * cluster, seconds length){
        common::seeded_random& random = cluster->random;
std::vector<bool> paused(cluster->size(), false);
const common::time_point end = cluster->time.Now() + length;
while (cluster->time.Now() < end) {
  cluster->time.Advance(milliseconds(100 + random.Below(1500)));
  const size_t at = random.Below(cluster->size());
  const size_t other = random.Below(cluster->size());
  switch (random.Below(5)) {
    case 0:
      if (cluster->running(at)) cluster->Kill(at);
      paused[at] = false;
      break;
    case 1:
      if (!cluster->running(at)) cluster->Start(at);
      break;
    case 2:
      if (!cluster->running(at)) break;
      paused[at] ? cluster->Resume(at) : cluster->Pause(at);
      paused[at] = !paused[at];
      break;
    case 3:
      if (at != other) cluster->SetCut(at, other, true);
      break;
    default:
      if (at != other) cluster->SetCut(at, other, false);
  }
}
}
}
;

TEST(LimitCluster, GatewaysTogetherKeepTheLimitAndUseIt) {
  for (const double limit : {0.5, 1.2, 3.0, 10.0, 40.0}) {
    limit_cluster cluster(7, 5, limit_cluster::demand::kWaits);
    cluster.limit = limit;
    cluster.demand_per_s = limit;
    cluster.time.Advance(seconds(60));
    const common::time_point from{kContact};
    CHECK(cluster.BusiestWindow(from) <= Allowed(limit));
    const double served = static_cast<double>(cluster.arrivals().size());
    CHECK(served >= 0.8 * limit * 55);
  }
}

TEST(LimitCluster, SlotsGoWhereTheRequestsAre) {
  limit_cluster cluster(3, 22, limit_cluster::demand::kWaits);
  cluster.limit = 1.2;
  cluster.only_demand = 4;
  cluster.time.Advance(seconds(60));
  CHECK(static_cast<double>(cluster.arrivals().size()) >= 0.8 * 1.2 * 55);
}

TEST(LimitCluster, PreferredTargetsKeepTheLimitToo) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    limit_cluster cluster(seed, 5, limit_cluster::demand::kPrefers);
    cluster.limit = 1.2;
    cluster.time.Advance(seconds(60));
    CHECK(cluster.BusiestWindow(common::time_point{kContact}) <= Allowed(1.2));
    CHECK(cluster.arrivals().size() >= 20);
  }
}

TEST(LimitCluster, BoundHoldsWhileGatewaysFailAndLoseEachOther) {
  constexpr uint64_t kSeeds = 600;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const limit_cluster::demand behaviour =
        seed % 2 == 0 ? limit_cluster::demand::kWaits
                      : limit_cluster::demand::kPrefers;
    limit_cluster cluster(seed, 3 + seed % 6, behaviour);
    const double limits[] = {0.5, 1.2, 3, 10, 40};
    cluster.limit = limits[seed % 5];
    cluster.demand_per_s = 2 * cluster.limit;
    cluster.time.Advance(seconds(3));
    RunWithFaults(&cluster, seconds(50));
    const size_t busiest = cluster.BusiestWindow(common::time_point{kContact});
    if (busiest > Allowed(cluster.limit)) {
      FAIL(StringFromFormat("seed %d: %d requests in a window, limit %.1f",
                            static_cast<int>(seed), static_cast<int>(busiest),
                            cluster.limit)
               .asCharString());
    }
  }
}

TEST(LimitCluster, AllGatewaysLearnThatALimitHasEnded) {
  limit_cluster cluster(5, 5, limit_cluster::demand::kPrefers);
  cluster.time.Advance(seconds(10));
  for (size_t i = 0; i < cluster.size(); ++i) {
    CHECK(!cluster.limits(i).empty());
  }
  cluster.limit = -1;
  cluster.time.Advance(seconds(3));
  for (size_t i = 0; i < cluster.size(); ++i) {
    CHECK(cluster.limits(i).empty());
  }
}
