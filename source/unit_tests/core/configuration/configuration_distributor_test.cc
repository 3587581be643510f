#include "core/configuration/configuration_distributor.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/core/configuration/configuration_cluster.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

using cluster = fakes::configuration_cluster;

// Time within which an accepted version must be in force everywhere, as the
// users require.
constexpr common::duration kDistributionLimit = 3s;

}  // namespace

TEST_GROUP(ConfigurationDistributor) {
  cluster all;

  void StartCluster(int per_data_centre) {
    for (const char* data_centre : {"a", "b", "c"}) {
      for (int i = 0; i < per_data_centre; ++i) {
        all.Add(data_centre + std::to_string(i), data_centre)
            .distributor.Start();
      }
    }
    for (int i = 0; i < 40; ++i) {
      all.agents.push_back(std::make_unique<cluster::agent>());
      all.agents.back()->name = "target-" + std::to_string(i);
    }
    all.ConnectAll();
    all.Run(1s);
    CHECK(all.Apply(*all.routers[0], "calm", 0).status ==
          core::apply_status::kAccepted);
    all.Run(kDistributionLimit);
    CheckEverywhere(1);
  }

  void CheckEverywhere(uint64_t version) {
    for (const std::unique_ptr<cluster::router>& router : all.routers) {
      if (!router->alive) continue;
      CHECK_EQUAL(version, router->holder.version());
    }
    for (const std::unique_ptr<cluster::agent>& agent : all.agents) {
      CHECK_EQUAL(version, agent->version);
    }
  }
};

TEST(ConfigurationDistributor, AcceptedVersionIsPushedToAllRoutersAndAgents) {
  StartCluster(4);
  CHECK(all.Apply(*all.routers[5], "peak", 1).version == 2);
  // Much less than a poll period, so the push must have delivered it.
  all.time.Advance(20ms);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, PushSendsABoundedNumberOfMessages) {
  StartCluster(4);
  const uint64_t before = all.messages;
  all.Apply(*all.routers[5], "peak", 1);
  all.time.Advance(20ms);
  // At most a document and a version per router, plus those for the tree's
  // root.
  CHECK(all.messages - before <= 2 * all.routers.size() + 2);
  for (const std::unique_ptr<cluster::agent>& agent : all.agents) {
    CHECK_EQUAL(2, agent->received);
  }
}

TEST(ConfigurationDistributor, OnlyAFewRoutersPollTheHead) {
  StartCluster(4);
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    router->rows.reads = 0;
  }
  all.Run(10s);
  int pollers = 0;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->rows.reads > 0) ++pollers;
  }
  CHECK_EQUAL(6, pollers);  // two in each of three data centres
}

TEST(ConfigurationDistributor, KilledHeadPollersAreReplaced) {
  StartCluster(4);
  std::vector<cluster::router*> pollers;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->distributor.IsHeadPoller()) pollers.push_back(router.get());
  }
  for (cluster::router* poller : pollers) all.Kill(*poller);
  int others = 0;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->alive && router->distributor.IsHeadPoller()) ++others;
  }
  CHECK_EQUAL(6, others);
}

TEST(ConfigurationDistributor, OneOfTwoConcurrentAppliesIsAccepted) {
  StartCluster(2);
  core::apply_result first;
  core::apply_result second;
  all.StartApply(*all.routers[0], "peak", 1, "t1", &first);
  all.StartApply(*all.routers[3], "works", 1, "t2", &second);
  all.Run(kDistributionLimit);
  const bool first_won = first.status == core::apply_status::kAccepted;
  const core::apply_result& loser = first_won ? second : first;
  const core::apply_result& winner = first_won ? first : second;
  CHECK(winner.status == core::apply_status::kAccepted);
  CHECK(loser.status == core::apply_status::kSuperseded);
  CHECK_EQUAL(winner.token, loser.superseded_by.token);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, VersionIsDistributedIfItsRouterIsKilled) {
  StartCluster(2);
  core::apply_result answer;
  cluster::router& accepting = all.Get("a0");
  all.StartApply(accepting, "peak", 1, "t1", &answer);
  all.time.Advance(3ms);  // the table has accepted the write
  accepting.alive = false;
  all.Run(250ms);
  all.Kill(accepting);
  all.Run(kDistributionLimit - 250ms);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, PausedRouterEndsWithTheNewestVersion) {
  StartCluster(2);
  cluster::router& paused_router = all.Get("b1");
  paused_router.paused = true;
  paused_router.rows.reachable = false;
  for (uint64_t version = 1; version < 4; ++version) {
    const char* preset = version % 2 == 0 ? "calm" : "peak";
    CHECK(all.Apply(all.Get("a0"), preset, version).version == version + 1);
    all.Run(1s);
  }
  CHECK_EQUAL(1, paused_router.holder.version());
  paused_router.rows.reachable = true;
  // The pending messages arrive all at once, the oldest last.
  std::reverse(paused_router.pending.begin(), paused_router.pending.end());
  all.Resume(paused_router);
  CHECK_EQUAL(4, paused_router.holder.version());
  all.Run(kDistributionLimit);
  CheckEverywhere(4);
}

TEST(ConfigurationDistributor, PartitionedDataCentreCatchesUp) {
  StartCluster(2);
  all.Partition("c");
  CHECK(all.Apply(all.Get("a0"), "peak", 1).version == 2);
  all.Run(120s);
  CHECK_EQUAL(2, all.Get("b0").holder.version());
  CHECK_EQUAL(1, all.Get("c0").holder.version());
  CHECK_EQUAL(1, all.Get("c1").holder.version());
  all.Heal();
  all.Run(kDistributionLimit);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, StartsWithAPeersVersionWhileTheTableIsDown) {
  StartCluster(1);
  all.rows.down = true;
  cluster::router& fresh = all.Add("a9", "a");
  fresh.distributor.Start();
  all.Connect(fresh, all.Get("b0"));
  all.Run(1s);
  // The peer may be out of date, so the router waits for the table.
  CHECK_EQUAL(1, fresh.holder.version());
  CHECK_FALSE(fresh.distributor.Ready());
  all.Run(3s);
  CHECK_TRUE(fresh.distributor.Ready());
}

TEST(ConfigurationDistributor, RouterStartingNextToAStalePeerGetsTheNewest) {
  StartCluster(1);
  all.Partition("c");
  CHECK(all.Apply(all.Get("a0"), "peak", 1).version == 2);
  all.partitioned_data_centre.clear();
  cluster::router& fresh = all.Add("c9", "c");
  fresh.rows.reachable = false;
  fresh.distributor.OnRouterListed("c0", "c");
  fresh.distributor.Start();
  all.Connect(fresh, all.Get("c0"));
  all.Run(1s);
  CHECK_EQUAL(1, fresh.holder.version());
  CHECK_FALSE(fresh.distributor.Ready());
  fresh.rows.reachable = true;
  all.Run(1s);
  CHECK_TRUE(fresh.distributor.Ready());
  CHECK_EQUAL(2, fresh.holder.version());
}

TEST(ConfigurationDistributor, RouterWithoutAVersionIsNotReady) {
  all.rows.down = true;
  cluster::router& alone = all.Add("a0", "a");
  alone.distributor.Start();
  all.Run(30s);
  CHECK_FALSE(alone.distributor.Ready());
}
