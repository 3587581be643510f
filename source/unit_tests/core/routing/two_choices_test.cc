#include "core/routing/two_choices.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "core/routing/baselines.h"
#include "core/routing/target_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(TwoChoices) {
  fakes::virtual_time time;
  common::seeded_random random{7};
  core::target_table targets;
  core::target_subset subset{{"r1", "a"}, 64};
  core::prefix_hints hints{time, std::chrono::seconds(60), 1000};
  core::two_choices policy{time, random, subset, hints, {"a"}};
  core::routing_request request;

  void setup() override {
    request.pool = "model";
    time.Advance(std::chrono::hours(1));
  }

  core::target_view* Add(const std::string& id, const std::string& centre) {
    core::target_view* view = targets.FindOrCreate(id, "model", centre);
    view->connected = true;
    view->load.limit = 8;
    return view;
  }

  core::target_view* Choose() {
    return policy.Choose(*targets.Pool("model"), request);
  }

  std::map<std::string, int> Counts(int choices) {
    std::map<std::string, int> counts;
    for (int i = 0; i < choices; ++i) {
      core::target_view* chosen = Choose();
      if (chosen != nullptr) ++counts[chosen->id];
    }
    return counts;
  }
};

TEST(TwoChoices, PrefersLocalTargetsUntilTheyAreBusy) {
  core::target_view* near = Add("near", "a");
  Add("far", "b");
  CHECK_EQUAL(100, Counts(100)["near"]);
  near->load.in_flight = 8;
  CHECK_EQUAL(100, Counts(100)["far"]);
}

TEST(TwoChoices, UsesRemoteTargetsWithoutALocalOne) {
  core::target_view* near = Add("near", "a");
  Add("far", "b");
  near->connected = false;
  STRCMP_EQUAL("far", Choose()->id.c_str());
}

TEST(TwoChoices, BusyTargetGetsFewerAttempts) {
  for (int i = 0; i < 4; ++i) Add("t" + std::to_string(i), "a");
  targets.Find("t0")->load.in_flight = 3;
  const std::map<std::string, int> counts = Counts(1000);
  CHECK(!counts.contains("t0") || counts.at("t0") < 100);
}

TEST(TwoChoices, CountsAttemptsSentSinceTheLastReport) {
  core::target_view* first = Add("t0", "a");
  Add("t1", "a");
  first->ApplyLoadReport({});
  first->load.limit = 8;
  first->local_in_flight = 3;  // sent since the report, which says idle
  CHECK(Counts(1000)["t0"] < 300);
}

TEST(TwoChoices, NewTargetGoesThroughSlowStart) {
  for (int i = 0; i < 4; ++i) Add("t" + std::to_string(i), "a");
  Counts(10);
  time.Advance(std::chrono::minutes(1));
  Add("new", "a")->incarnation = 5;
  const int early = Counts(1000)["new"];
  time.Advance(std::chrono::minutes(1));
  const int late = Counts(1000)["new"];
  CHECK(early < 100);
  CHECK(late > 120);
}

TEST(TwoChoices, PrefixStaysOnItsTargetUnlessThatIsBusy) {
  for (int i = 0; i < 8; ++i) Add("t" + std::to_string(i), "a");
  request.prefix_key = "conversation 12";
  core::target_view* owner = Choose();
  CHECK_EQUAL(100, Counts(100)[owner->id]);
  owner->load.in_flight = 6;
  CHECK_EQUAL(0, Counts(100)[owner->id]);
}

TEST(TwoChoices, EjectedTargetIsUsedOnlyWithoutAnother) {
  core::target_view* bad = Add("bad", "a");
  core::target_view* good = Add("good", "a");
  bad->health.ejected_until = time.Now() + std::chrono::seconds(5);
  CHECK_EQUAL(100, Counts(100)["good"]);
  good->connected = false;
  STRCMP_EQUAL("bad", Choose()->id.c_str());
}

TEST(TwoChoices, NeverChoosesAnExcludedTarget) {
  Add("t0", "a");
  Add("t1", "b");
  const std::vector<std::string> tried = {"t0", "t1"};
  request.excluded = tried;
  CHECK(Choose() == nullptr);
}

TEST(TwoChoices, BaselinesChooseOnlyUsableTargets) {
  Add("t0", "a");
  Add("t1", "a")->listed_leaving = true;
  Add("t2", "a")->load.in_flight = 2;
  core::round_robin cyclic;
  core::random_choice any{random};
  core::least_outstanding least{random};
  const core::target_pool& pool = *targets.Pool("model");
  STRCMP_EQUAL("t0", cyclic.Choose(pool, request)->id.c_str());
  STRCMP_EQUAL("t2", cyclic.Choose(pool, request)->id.c_str());
  STRCMP_EQUAL("t0", least.Choose(pool, request)->id.c_str());
  for (int i = 0; i < 50; ++i) {
    CHECK(any.Choose(pool, request)->id != "t1");
  }
}
