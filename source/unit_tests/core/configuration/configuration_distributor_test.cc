#include "core/configuration/configuration_distributor.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/core/configuration/configuration_cluster.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

using cluster = fakes::configuration_cluster;

// The users' bound for "in force everywhere".
constexpr common::duration kEverywhere = 3s;

}  // namespace

TEST_GROUP(ConfigurationDistributor) {
  cluster all;

  void StartRouters(int per_data_centre) {
    for (const char* data_centre : {"a", "b", "c"}) {
      for (int i = 0; i < per_data_centre; ++i) {
        all.Add(data_centre + std::to_string(i), data_centre).spread.Start();
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
    all.Run(kEverywhere);
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

TEST(ConfigurationDistributor, AcceptedVersionIsPushedAtOnceToEveryRouter) {
  StartRouters(4);
  CHECK(all.Apply(*all.routers[5], "peak", 1).version == 2);
  // Far less than a poll period: only the push can have brought it.
  all.time.Advance(20ms);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, PushCostsABoundedNumberOfMessages) {
  StartRouters(4);
  const uint64_t before = all.messages;
  all.Apply(*all.routers[5], "peak", 1);
  all.time.Advance(20ms);
  // A document and an announcement for each of the routers, and the roots.
  CHECK(all.messages - before <= 2 * all.routers.size() + 2);
  for (const std::unique_ptr<cluster::agent>& agent : all.agents) {
    CHECK_EQUAL(2, agent->received);
  }
}

TEST(ConfigurationDistributor, OnlyAFewReadersPollTheHead) {
  StartRouters(4);
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    router->rows.reads = 0;
  }
  all.Run(10s);
  int readers = 0;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->rows.reads > 0) ++readers;
  }
  CHECK_EQUAL(6, readers);  // two for each of three data centres
}

TEST(ConfigurationDistributor, ReaderThatDiesIsReplaced) {
  StartRouters(4);
  std::vector<cluster::router*> readers;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->spread.IsHeadPoller()) readers.push_back(router.get());
  }
  for (cluster::router* reader : readers) all.Kill(*reader);
  int others = 0;
  for (const std::unique_ptr<cluster::router>& router : all.routers) {
    if (router->alive && router->spread.IsHeadPoller()) ++others;
  }
  CHECK_EQUAL(6, others);
}

TEST(ConfigurationDistributor, TwoOperatorsAtOnceHaveOneWinner) {
  StartRouters(2);
  core::apply_result first;
  core::apply_result second;
  all.StartApply(*all.routers[0], "peak", 1, "t1", &first);
  all.StartApply(*all.routers[3], "works", 1, "t2", &second);
  all.Run(kEverywhere);
  const bool first_won = first.status == core::apply_status::kAccepted;
  const core::apply_result& loser = first_won ? second : first;
  const core::apply_result& winner = first_won ? first : second;
  CHECK(winner.status == core::apply_status::kAccepted);
  CHECK(loser.status == core::apply_status::kSuperseded);
  CHECK_EQUAL(winner.token, loser.superseded_by.token);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, RouterKilledAfterAcceptStillSpreads) {
  StartRouters(2);
  core::apply_result answer;
  cluster::router& accepting = all.Get("a0");
  all.StartApply(accepting, "peak", 1, "t1", &answer);
  all.time.Advance(3ms);  // the table has taken it
  accepting.alive = false;
  all.Run(250ms);
  all.Kill(accepting);
  all.Run(kEverywhere - 250ms);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor, PausedRouterSkipsToTheNewestOfThreeChanges) {
  StartRouters(2);
  cluster::router& sleeper = all.Get("b1");
  sleeper.paused = true;
  sleeper.rows.reachable = false;
  for (uint64_t version = 1; version < 4; ++version) {
    const char* preset = version % 2 == 0 ? "calm" : "peak";
    CHECK(all.Apply(all.Get("a0"), preset, version).version == version + 1);
    all.Run(1s);
  }
  CHECK_EQUAL(1, sleeper.holder.version());
  sleeper.rows.reachable = true;
  // The messages held meanwhile arrive in a burst, the oldest last.
  std::reverse(sleeper.held.begin(), sleeper.held.end());
  all.Wake(sleeper);
  CHECK_EQUAL(4, sleeper.holder.version());
  all.Run(kEverywhere);
  CheckEverywhere(4);
}

TEST(ConfigurationDistributor, CutOffDataCentreKeepsItsVersionAndCatchesUp) {
  StartRouters(2);
  all.Cutoff("c");
  CHECK(all.Apply(all.Get("a0"), "peak", 1).version == 2);
  all.Run(120s);
  CHECK_EQUAL(2, all.Get("b0").holder.version());
  CHECK_EQUAL(1, all.Get("c0").holder.version());
  CHECK_EQUAL(1, all.Get("c1").holder.version());
  all.Heal();
  all.Run(kEverywhere);
  CheckEverywhere(2);
}

TEST(ConfigurationDistributor,
     StartsWithThePeersVersionWhileThePlatformIsDown) {
  StartRouters(1);
  all.rows.down = true;
  cluster::router& fresh = all.Add("a9", "a");
  fresh.spread.Start();
  all.Connect(fresh, all.Get("b0"));
  all.Run(1s);
  // The peer may be stale, so the table is waited for.
  CHECK_EQUAL(1, fresh.holder.version());
  CHECK_FALSE(fresh.spread.Ready());
  all.Run(3s);
  CHECK_TRUE(fresh.spread.Ready());
}

TEST(ConfigurationDistributor, StartBesideAStalePeerTakesTheHighestWhenItCan) {
  StartRouters(1);
  all.Cutoff("c");
  CHECK(all.Apply(all.Get("a0"), "peak", 1).version == 2);
  all.cut_data_centre.clear();
  cluster::router& fresh = all.Add("c9", "c");
  fresh.rows.reachable = false;
  fresh.spread.OnRouterListed("c0", "c");
  fresh.spread.Start();
  all.Connect(fresh, all.Get("c0"));
  all.Run(1s);
  CHECK_EQUAL(1, fresh.holder.version());
  CHECK_FALSE(fresh.spread.Ready());
  fresh.rows.reachable = true;
  all.Run(1s);
  CHECK_TRUE(fresh.spread.Ready());
  CHECK_EQUAL(2, fresh.holder.version());
}

TEST(ConfigurationDistributor, WithoutAnyVersionARouterIsNotReady) {
  all.rows.down = true;
  cluster::router& alone = all.Add("a0", "a");
  alone.spread.Start();
  all.Run(30s);
  CHECK_FALSE(alone.spread.Ready());
}
