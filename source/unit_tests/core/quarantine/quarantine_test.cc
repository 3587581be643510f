#include "core/quarantine/quarantine.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/core/quarantine/crash_cluster.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

using cluster = fakes::crash_cluster;
using common::result_code;

// The users' bounds: at most three targets lost, no harmless request refused.
constexpr uint64_t kMaxTargetsLost = 3;
constexpr int kHarmlessRequests = 30;

}  // namespace

TEST_GROUP(Quarantine) {
  std::vector<std::shared_ptr<cluster::recording_sink>> harmless;

  void SendHarmless(cluster * all) {
    for (int i = 0; i < kHarmlessRequests; ++i) {
      harmless.push_back(
          all->Request(static_cast<size_t>(i) % all->routers.size(),
                       "harmless-" + std::to_string(i)));
    }
  }

  void CheckHarmless() {
    for (const std::shared_ptr<cluster::recording_sink>& answer : harmless) {
      CHECK_TRUE(answer->ended);
      CHECK_EQUAL(0, static_cast<int>(answer->result.code));
    }
  }
};

TEST(Quarantine, OneCrashingDigestAmongThirtyHarmlessOnOneTarget) {
  cluster all(1, 8);
  // Only one target is usable, so that all run there together.
  for (const auto& [id, node] : all.nodes) {
    if (id != "target-0") all.routers[0]->targets.Find(id)->drained = true;
  }
  SendHarmless(&all);
  const std::shared_ptr<cluster::recording_sink> poison =
      all.Request(0, "poison");
  all.time.Advance(5ms);
  CHECK_EQUAL(kHarmlessRequests + 1, all.nodes["target-0"]->running.size());
  for (const auto& [id, node] : all.nodes) {
    all.routers[0]->targets.Find(id)->drained = false;
  }
  all.Run(5s);
  CheckHarmless();
  CHECK(poison->result.code == result_code::kDigestQuarantined);
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, HarmlessSuspectsGetAnExclusiveRunWhateverTheRetryLimit) {
  cluster all(1, 8);
  all.UsePreset(R"({"max_attempts": 1})");
  SendHarmless(&all);
  all.Request(0, "poison");
  all.Run(5s);
  CheckHarmless();
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, RetriesThroughEveryRouterAreRefused) {
  cluster all(4, 8);
  SendHarmless(&all);
  all.Request(0, "poison");
  all.Run(5s);
  const uint64_t lost = all.TargetsLost();
  for (int round = 0; round < 10; ++round) {
    for (size_t at = 0; at < all.routers.size(); ++at) {
      const std::shared_ptr<cluster::recording_sink> again =
          all.Request(at, "poison");
      all.Run(500ms);
      CHECK(again->result.code == result_code::kDigestQuarantined);
    }
  }
  CheckHarmless();
  CHECK_EQUAL(lost, all.TargetsLost());
  CHECK(lost <= kMaxTargetsLost);
}

TEST(Quarantine, TwoTargetsAtOnceStayWithinTheBound) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    cluster all(2, 8);
    all.random = common::seeded_random(seed);
    harmless.clear();
    SendHarmless(&all);
    const std::shared_ptr<cluster::recording_sink> first =
        all.Request(0, "poison");
    const std::shared_ptr<cluster::recording_sink> second =
        all.Request(1, "poison");
    all.Run(6s);
    CheckHarmless();
    CHECK(first->result.code == result_code::kDigestQuarantined);
    CHECK(second->result.code == result_code::kDigestQuarantined);
    CHECK(all.TargetsLost() <= kMaxTargetsLost);
  }
}

TEST(Quarantine, PartitionedRoutersSendASuspectToTheSameTarget) {
  cluster all(2, 8);
  all.partitioned = true;
  SendHarmless(&all);
  all.Request(0, "poison");
  all.Request(1, "poison");
  all.Run(6s);
  CheckHarmless();
  // The agent remembers the exclusive run, so one serves both routers.
  CHECK(all.TargetsLost() <= kMaxTargetsLost);
}

TEST(Quarantine, ASuspectReachesPeersBeforeItsExclusiveRunEnds) {
  cluster all(2, 8);
  all.Request(0, "poison");
  // The target has crashed; the exclusive run has not ended.
  all.time.Advance(24ms);
  CHECK_EQUAL(1, all.TargetsLost());
  CHECK(all.routers[1]->quarantined.StatusOf("poison") ==
        core::quarantine_status::kSuspect);
  all.Request(1, "poison");
  all.Run(5s);
  CHECK_EQUAL(2, all.TargetsLost());
}

TEST(Quarantine, ARestartingTargetQuarantinesNoHarmlessRequest) {
  cluster all(2, 2);
  all.restart = 3s;
  SendHarmless(&all);
  all.Request(0, "poison");
  all.time.Advance(30ms);
  // Both routers still take the crashed target for usable.
  for (int i = 0; i < 10; ++i) {
    harmless.push_back(all.Request(1, "late-" + std::to_string(i)));
  }
  all.Run(8s);
  CheckHarmless();
  CHECK_EQUAL(1, all.routers[0]->quarantined.List().size());
}

TEST(Quarantine, EntriesOutliveTheRouters) {
  cluster all(1, 8);
  all.Request(0, "poison");
  all.Run(5s);
  const uint64_t lost = all.TargetsLost();
  cluster::router& replacement = all.AddRouter();
  replacement.quarantined.Load();
  all.Run(1s);
  CHECK(all.Request(1, "poison")->result.code ==
        result_code::kDigestQuarantined);
  CHECK_EQUAL(lost, all.TargetsLost());
}

TEST(Quarantine, AnEntryIsWrittenOnceThePlatformIsBack) {
  cluster all(1, 8);
  all.rows.down = true;
  all.Request(0, "poison");
  all.Run(60s);
  CHECK_TRUE(all.rows.rows.empty());
  all.rows.down = false;
  all.Run(3s);
  CHECK_EQUAL(1, all.rows.rows.count("quarantine/poison"));
}

TEST(Quarantine, EntriesExpire) {
  cluster all(1, 8);
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& quarantined = all.routers[0]->quarantined;
  CHECK_EQUAL(1, quarantined.List().size());
  all.time.Advance(1h);
  CHECK(quarantined.StatusOf("poison") == core::quarantine_status::kClear);
  CHECK_TRUE(quarantined.List().empty());
}

TEST(Quarantine, ALiftedEntryStaysLiftedEverywhere) {
  cluster all(2, 8);
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& first = all.routers[0]->quarantined;
  core::quarantine& second = all.routers[1]->quarantined;
  CHECK(second.StatusOf("poison") == core::quarantine_status::kQuarantined);
  CHECK_TRUE(second.Lift("poison"));
  all.Run(3s);
  CHECK(first.StatusOf("poison") == core::quarantine_status::kClear);
  CHECK_EQUAL(first.Hash(), second.Hash());
  // The row records the lift, so a reload does not restore the quarantine.
  first.Load();
  all.Run(1s);
  CHECK(first.StatusOf("poison") == core::quarantine_status::kClear);
}

TEST(Quarantine, APeerThatMissedAnEntryLearnsItByTheHash) {
  cluster all(2, 8);
  all.partitioned = true;
  all.Request(0, "poison");
  all.Run(5s);
  core::quarantine& first = all.routers[0]->quarantined;
  core::quarantine& second = all.routers[1]->quarantined;
  CHECK(second.StatusOf("poison") == core::quarantine_status::kClear);
  all.partitioned = false;
  first.OnPeerHash("1", second.Hash());
  all.Run(250ms);
  CHECK(second.StatusOf("poison") == core::quarantine_status::kQuarantined);
  CHECK_EQUAL(first.Hash(), second.Hash());
}

TEST(Quarantine, ANonIdempotentSuspectIsNeverRunAgain) {
  cluster all(2, 8);
  const std::shared_ptr<cluster::recording_sink> first =
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
