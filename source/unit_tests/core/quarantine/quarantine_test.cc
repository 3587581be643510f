#include "core/quarantine/quarantine.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/core/quarantine/crash_cluster.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

using cluster = fakes::crash_cluster;
using common::result_code;

// The users' bounds: at most three targets lost and no innocent refused.
constexpr uint64_t kMostTargetsLost = 3;
constexpr int kInnocents = 30;

}  // namespace

TEST_GROUP(Quarantine) {
  std::vector<std::shared_ptr<cluster::answer>> innocents;

  void SendInnocents(cluster * all) {
    for (int i = 0; i < kInnocents; ++i) {
      innocents.push_back(
          all->Request(static_cast<size_t>(i) % all->routers.size(),
                       "innocent-" + std::to_string(i)));
    }
  }

  void CheckInnocents() {
    for (const std::shared_ptr<cluster::answer>& answer : innocents) {
      CHECK_TRUE(answer->ended);
      CHECK_EQUAL(0, static_cast<int>(answer->result.code));
    }
  }
};

TEST(Quarantine, OneCrashingDigestAmongThirtyInnocentsOnOneTarget) {
  cluster all(1, 8);
  // One target is usable, so that all are batched together on it.
  for (const auto& [id, node] : all.nodes) {
    if (id != "target-0") all.routers[0]->targets.Find(id)->drained = true;
  }
  SendInnocents(&all);
  const std::shared_ptr<cluster::answer> poison = all.Request(0, "poison");
  all.time.Advance(5ms);
  CHECK_EQUAL(kInnocents + 1, all.nodes["target-0"]->running.size());
  for (const auto& [id, node] : all.nodes) {
    all.routers[0]->targets.Find(id)->drained = false;
  }
  all.Run(5s);
  CheckInnocents();
  CHECK(poison->result.code == result_code::kDigestQuarantined);
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, InnocentsGetTheirRunAloneWhateverTheRetryLimit) {
  cluster all(1, 8);
  all.UsePreset(R"({"max_attempts": 1})");
  SendInnocents(&all);
  all.Request(0, "poison");
  all.Run(5s);
  CheckInnocents();
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, ResendsThroughEveryRouterAreRefused) {
  cluster all(4, 8);
  SendInnocents(&all);
  all.Request(0, "poison");
  all.Run(5s);
  const uint64_t lost = all.TargetsLost();
  for (int round = 0; round < 10; ++round) {
    for (size_t at = 0; at < all.routers.size(); ++at) {
      const std::shared_ptr<cluster::answer> again = all.Request(at, "poison");
      all.Run(500ms);
      CHECK(again->result.code == result_code::kDigestQuarantined);
    }
  }
  CheckInnocents();
  CHECK_EQUAL(lost, all.TargetsLost());
  CHECK(lost <= kMostTargetsLost);
}

TEST(Quarantine, TwoTargetsAtOnceStayWithinTheBound) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    cluster all(2, 8);
    all.random = common::seeded_random(seed);
    innocents.clear();
    SendInnocents(&all);
    const std::shared_ptr<cluster::answer> first = all.Request(0, "poison");
    const std::shared_ptr<cluster::answer> second = all.Request(1, "poison");
    all.Run(6s);
    CheckInnocents();
    CHECK(first->result.code == result_code::kDigestQuarantined);
    CHECK(second->result.code == result_code::kDigestQuarantined);
    CHECK(all.TargetsLost() <= kMostTargetsLost);
  }
}

TEST(Quarantine, RoutersThatCannotReachEachOtherShareTheTrialTarget) {
  cluster all(2, 8);
  all.partitioned = true;
  SendInnocents(&all);
  all.Request(0, "poison");
  all.Request(1, "poison");
  all.Run(6s);
  CheckInnocents();
  // The agent of the trial target remembers, so one trial serves both.
  CHECK(all.TargetsLost() <= kMostTargetsLost);
}

TEST(Quarantine, SuspicionReachesPeersBeforeTheTrialEnds) {
  cluster all(2, 8);
  all.Request(0, "poison");
  // The target has crashed; the trial has not ended.
  all.time.Advance(24ms);
  CHECK_EQUAL(1, all.TargetsLost());
  CHECK(all.routers[1]->crashes.StatusOf("poison") ==
        core::quarantine_status::kSuspect);
  all.Request(1, "poison");
  all.Run(5s);
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, TargetThatIsNotBackConvictsNobody) {
  cluster all(2, 2);
  all.restart = 3s;
  SendInnocents(&all);
  all.Request(0, "poison");
  all.time.Advance(30ms);
  // Both routers still believe that the crashed target takes work.
  for (int i = 0; i < 10; ++i) {
    innocents.push_back(all.Request(1, "late-" + std::to_string(i)));
  }
  all.Run(8s);
  CheckInnocents();
  CHECK_EQUAL(1, all.routers[0]->crashes.List().size());
}

TEST(Quarantine, ConvictionsOutliveTheRouters) {
  cluster all(1, 8);
  all.Request(0, "poison");
  all.Run(5s);
  const uint64_t lost = all.TargetsLost();
  cluster::router& replacement = all.AddRouter();
  replacement.crashes.Load();
  all.Run(1s);
  CHECK(all.Request(1, "poison")->result.code ==
        result_code::kDigestQuarantined);
  CHECK_EQUAL(lost, all.TargetsLost());
}

TEST(Quarantine, ConvictionIsWrittenOnceThePlatformIsBack) {
  cluster all(1, 8);
  all.rows.down = true;
  all.Request(0, "poison");
  all.Run(60s);
  CHECK_TRUE(all.rows.rows.empty());
  all.rows.down = false;
  all.Run(3s);
  CHECK_EQUAL(1, all.rows.rows.count("quarantine/poison"));
}

TEST(Quarantine, ConvictionsExpire) {
  cluster all(1, 8);
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& crashes = all.routers[0]->crashes;
  CHECK_EQUAL(1, crashes.List().size());
  all.time.Advance(1h);
  CHECK(crashes.StatusOf("poison") == core::quarantine_status::kClear);
  CHECK_TRUE(crashes.List().empty());
}

TEST(Quarantine, LiftedConvictionStaysLiftedEverywhere) {
  cluster all(2, 8);
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& first = all.routers[0]->crashes;
  core::quarantine& second = all.routers[1]->crashes;
  CHECK(second.StatusOf("poison") == core::quarantine_status::kQuarantined);
  CHECK_TRUE(second.Lift("poison"));
  all.Run(3s);
  CHECK(first.StatusOf("poison") == core::quarantine_status::kClear);
  CHECK_EQUAL(first.Hash(), second.Hash());
  // The row holds the lift, so a reload does not bring the conviction back.
  first.Load();
  all.Run(1s);
  CHECK(first.StatusOf("poison") == core::quarantine_status::kClear);
}

TEST(Quarantine, PeerThatMissedAConvictionLearnsItByTheHash) {
  cluster all(2, 8);
  all.partitioned = true;
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& first = all.routers[0]->crashes;
  core::quarantine& second = all.routers[1]->crashes;
  CHECK(second.StatusOf("poison") == core::quarantine_status::kClear);
  all.partitioned = false;
  first.OnPeerHash("1", second.Hash());
  all.Run(250ms);
  CHECK(second.StatusOf("poison") == core::quarantine_status::kQuarantined);
  CHECK_EQUAL(first.Hash(), second.Hash());
}

TEST(Quarantine, NonIdempotentSuspectIsNeverRunAgain) {
  cluster all(2, 8);
  const std::shared_ptr<cluster::answer> first =
      all.Request(0, "poison-booking", "b", "key-1");
  all.Run(5s);
  CHECK(first->result.execution == core::execution_status::kUnknown);
  CHECK_EQUAL(1, all.starts["poison-booking"]);
  for (size_t at = 0; at < 2; ++at) {
    all.Request(at, "poison-booking", "b", "key-1");
    all.Run(5s);
  }
  CHECK_EQUAL(1, all.starts["poison-booking"]);
  CHECK_EQUAL(1, all.TargetsLost());
}
