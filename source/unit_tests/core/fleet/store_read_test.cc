#include "core/fleet/store_read.h"

#include <memory>
#include <string>
#include <vector>

#include "unit_tests/core/fleet/restored_store_cluster.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kLinkDelay{5};
constexpr milliseconds kLeavingLimit{2000};
constexpr milliseconds kHeartbeat{1200};
constexpr size_t kTargets = 40;
constexpr size_t kGateways = 12;

}  // namespace

// A store, targets that write their entries with each heartbeat, and gateways
// of one data centre, the first of which reads for the others.
TEST_GROUP(StoreRead) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::restorable_store store{time};
  std::vector<std::unique_ptr<fakes::store_reader>> gateways;
  uint64_t sequence = 0;
  bool relays = true;

  void setup() override {
    store.Set("op", "config", "1 text");
    Beat();
    for (size_t i = 0; i < kGateways; ++i) {
      gateways.push_back(
          std::make_unique<fakes::store_reader>(store, time, random));
    }
    gateways[0]->sync.SetReadHandler(
        [this](const core::store_read& read, common::time_point read_at) {
          Relay(read, read_at);
        });
    // The first read may be from a copy of the store.
    Run(seconds(8));
  }

  void Beat() {
    ++sequence;
    for (size_t i = 0; i < kTargets; ++i) Write(i, "ready");
  }
  void Write(size_t target, const std::string& state) {
    store.Set("servers", "t" + std::to_string(target),
              "1 " + std::to_string(sequence) + " " + state);
  }
  void Relay(const core::store_read& read, common::time_point read_at) {
    if (!relays) return;
    for (size_t i = 1; i < gateways.size(); ++i) {
      gateways[i]->process.Schedule(kLinkDelay,
                                    [to = gateways[i].get(), read, read_at] {
                                      to->sync.ApplyRelayedRead(read, read_at);
                                    });
    }
  }
  void Run(common::duration length) {
    const common::time_point end = time.Now() + length;
    while (time.Now() < end) {
      time.Advance(kHeartbeat);
      Beat();
    }
  }
  uint64_t Calls() const {
    uint64_t calls = 0;
    for (const auto& each : gateways) calls += each->client.calls;
    return calls;
  }
  size_t Using(const std::string& target) const {
    size_t count = 0;
    for (const auto& each : gateways) count += each->Uses(target) ? 1 : 0;
    return count;
  }
};

TEST(StoreRead, OneReadsForAll) {
  const uint64_t before = Calls();
  const uint64_t before_reader = gateways[0]->client.calls;
  Run(seconds(60));
  const uint64_t by_reader = gateways[0]->client.calls - before_reader;
  // The others read on the loss of a message only.
  CHECK_TEXT(Calls() - before < 2 * by_reader,
             std::to_string(Calls() - before).c_str());
  LONGS_EQUAL(kGateways, Using("t1"));
}

TEST(StoreRead, WithoutARelayEachReadsForItself) {
  relays = false;
  const uint64_t before = Calls();
  const uint64_t before_reader = gateways[0]->client.calls;
  Run(seconds(60));
  CHECK(Calls() - before >
        (gateways[0]->client.calls - before_reader) * (kGateways - 2));
}

TEST(StoreRead, ALeavingTargetAndNewRoutesReachAll) {
  Write(1, "draining");
  store.Set("servers", "t2", std::nullopt);
  store.Set("servers", "new", "1 1 ready");
  store.Set("op", "config", "2 text");
  time.Advance(kLeavingLimit);
  LONGS_EQUAL(0, Using("t1"));
  LONGS_EQUAL(0, Using("t2"));
  LONGS_EQUAL(kGateways, Using("new"));
  for (const auto& each : gateways) {
    LONGS_EQUAL(2, each->routes.edition().version);
  }
}

TEST(StoreRead, TheLossOfTheReaderDelaysNothingBeyondTheLimit) {
  gateways[0]->process.Pause();
  Write(1, "draining");
  store.Set("op", "config", "2 text");
  time.Advance(kLeavingLimit);
  LONGS_EQUAL(1, Using("t1"));
  for (size_t i = 1; i < gateways.size(); ++i) {
    CHECK(!gateways[i]->Uses("t1"));
    LONGS_EQUAL(2, gateways[i]->routes.edition().version);
  }
}

TEST(StoreRead, AReadThatDoesNotFollowOnIsIgnored) {
  fakes::store_reader& follower = *gateways[1];
  relays = false;
  Run(seconds(5));
  core::store_read gap;
  gap.from = {1, 1000000};
  gap.to = {1, 1000001};
  gap.changes = {{"t1", "", 1000001, true}};
  follower.sync.ApplyRelayedRead(gap, time.Now());
  CHECK(follower.Uses("t1"));
  // Of another era.
  gap.from = {2, 0};
  gap.to = {2, 5};
  follower.sync.ApplyRelayedRead(gap, time.Now());
  CHECK(follower.Uses("t1"));
}

TEST_GROUP(StatementClock) { core::statement_clock clock; };

TEST(StatementClock, ADelayedStatementIsOlderThanItsArrival) {
  const common::time_point start{};
  const seconds skew{500};
  const auto stated = [&](int64_t at_ms) {
    return start + skew + milliseconds(at_ms);
  };
  CHECK(clock.WhenStated("a", stated(0), start + milliseconds(20)) ==
        start + milliseconds(20));
  CHECK(clock.WhenStated("a", stated(1000), start + milliseconds(1005)) ==
        start + milliseconds(1005));
  CHECK(clock.WhenStated("a", stated(2000), start + milliseconds(3500)) ==
        start + milliseconds(2005));
  // A VM that started again has another clock.
  clock.Forget("a");
  CHECK(clock.WhenStated("a", start, start + milliseconds(9000)) ==
        start + milliseconds(9000));
}

TEST_GROUP(StoreReaderChoice){};

TEST(StoreReaderChoice, IsAsForOwners) {
  const std::vector<core::owner_candidate> candidates = {
      {"large", 1, false}, {"small", 0.1, false}, {"slow", 1, true}};
  CHECK_EQUAL("large", core::ChooseStoreReader(candidates, "a"));
  CHECK_EQUAL("", core::ChooseStoreReader({}, "a"));
}

TEST(StoreReaderChoice, AReaderThatIsSilentIsReplacedForAWhile) {
  fakes::virtual_time time;
  const core::store_reader_choice_options options;
  core::store_reader_choice choice(options, time, "own", "a");
  const std::vector<core::owner_candidate> candidates = {
      {"own", 0.1, false}, {"first", 1, false}, {"second", 0.5, false}};
  CHECK(choice.Update(candidates, true));
  const std::string first = choice.reader();
  CHECK(!choice.is_reader());
  for (int i = 0; i < 5; ++i) {
    time.Advance(options.max_silence);
    choice.OnRead(first);
    CHECK(!choice.Update(candidates, true));
  }
  time.Advance(options.max_silence + milliseconds(1));
  CHECK(choice.Update(candidates, true));
  CHECK(choice.reader() != first);
  choice.OnRead(choice.reader());
  // It reads again, and may be chosen after the exclusion.
  time.Advance(options.exclusion + milliseconds(1));
  choice.OnRead(first);
  CHECK(choice.Update(candidates, true));
  CHECK_EQUAL(first, choice.reader());
}

TEST(StoreReaderChoice, AGatewayThatCannotReadIsNotTheReader) {
  fakes::virtual_time time;
  core::store_reader_choice choice({}, time, "own", "a");
  const std::vector<core::owner_candidate> candidates = {{"own", 1, false},
                                                         {"other", 0.1, false}};
  choice.Update(candidates, true);
  CHECK(choice.is_reader());
  choice.Update(candidates, false);
  CHECK_EQUAL("other", choice.reader());
}

// The store turns a gateway away and serves the others.
TEST(StoreRead, AGatewayThatTheStoreTurnsAwayFollowsTheReader) {
  fakes::store_reader& turned_away = *gateways[1];
  turned_away.client.cut = true;
  const uint64_t before = turned_away.client.calls;
  Run(seconds(30));
  CHECK(turned_away.client.calls - before < 10);
  Write(1, "draining");
  store.Set("servers", "new", "1 1 ready");
  time.Advance(kLeavingLimit);
  CHECK(!turned_away.Uses("t1"));
  CHECK(turned_away.Uses("new"));
}
