#include "core/placement/model_placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(ModelPlacement) {
  static constexpr uint64_t kBytes = 1'000'000'000;

  fakes::virtual_time time;
  core::placement_options options;
  std::vector<core::placed_model> models = {{"care", kBytes, 10, 1},
                                            {"sketch", kBytes, 10, 1}};
  std::vector<core::placed_engine> engines;

  void setup() override {
    for (int i = 0; i < 10; ++i) {
      core::placed_engine engine;
      engine.target = "e" + std::to_string(i);
      engine.loaded = {i < 5 ? "care" : "sketch"};
      engines.push_back(engine);
    }
  }

  int LoadedReplicas(const std::string& model) const {
    return static_cast<int>(
        std::count_if(engines.begin(), engines.end(),
                      [&model](const core::placed_engine& engine) {
                        return engine.loaded.contains(model);
                      }));
  }

  /// Applies orders to the engines; loads complete in CompleteLoads.
  void Execute(const std::vector<core::placement_order>& orders) {
    for (const core::placement_order& order : orders) {
      for (core::placed_engine& engine : engines) {
        if (engine.target != order.target) continue;
        if (order.order.kind == "load_model") {
          engine.loading.insert(order.order.argument);
        } else {
          engine.loaded.erase(order.order.argument);
        }
      }
    }
  }

  void CompleteLoads() {
    for (core::placed_engine& engine : engines) {
      engine.loaded.insert(engine.loading.begin(), engine.loading.end());
      engine.loading.clear();
    }
  }
};

TEST(ModelPlacement, ReplicasFollowDemandWithoutDroppingBelowTheDesiredNumber) {
  core::model_placement placement(time, options);
  CHECK(placement.Plan(models, engines, 1).empty());
  models[1].demand = 40;
  for (int i = 0; i < 60; ++i) {
    Execute(placement.Plan(models, engines, 1));
    // Replicas are only unloaded while more are loaded than desired.
    const uint32_t desired = placement.DesiredReplicas(models, engines)["care"];
    CHECK(LoadedReplicas("care") >= static_cast<int>(desired));
    CHECK(LoadedReplicas("sketch") >= 5);
    time.Advance(std::chrono::seconds(10));
    if (i % 2 == 1) CompleteLoads();
  }
  CHECK_EQUAL(2, LoadedReplicas("care"));
  CHECK_EQUAL(8, LoadedReplicas("sketch"));
}

TEST(ModelPlacement, LoadsStayWithinTheRateOfTheWeightStore) {
  options.burst_bytes = 2 * kBytes;
  options.bytes_per_second = kBytes / 10;
  options.max_concurrent_loads = 100;
  for (core::placed_engine& engine : engines) engine.loaded.clear();
  core::model_placement placement(time, options);
  int loads = 0;
  for (int second = 0; second < 40; ++second) {
    const std::vector<core::placement_order> orders =
        placement.Plan(models, engines, 1);
    loads += static_cast<int>(orders.size());
    Execute(orders);
    time.Advance(std::chrono::seconds(1));
  }
  CHECK_EQUAL(2 + 3, loads);
}

TEST(ModelPlacement, AnUnusableEngineIsReplacedAndGetsNoOrders) {
  core::model_placement placement(time, options);
  placement.Plan(models, engines, 1);
  for (int i = 0; i < 4; ++i) engines[static_cast<size_t>(i)].usable = false;
  bool replaced = false;
  for (const core::placement_order& order :
       placement.Plan(models, engines, 1)) {
    CHECK(order.target >= "e4");
    CHECK(order.order.argument != "care" || order.order.kind != "unload_model");
    replaced = true;
  }
  CHECK(replaced);
}

TEST(ModelPlacement, OrdersCarryTheFencingNumberAndDistinctIds) {
  for (core::placed_engine& engine : engines) engine.loaded.clear();
  core::model_placement placement(time, options);
  const std::vector<core::placement_order> orders =
      placement.Plan(models, engines, 9);
  CHECK_EQUAL(4, static_cast<int>(orders.size()));
  for (const core::placement_order& order : orders) {
    CHECK_EQUAL(9, static_cast<int>(order.order.fencing_number));
  }
  CHECK(orders[0].order.order_id != orders[1].order.order_id);
}

TEST(ModelPlacement, OscillatingDemandDoesNotMoveModels) {
  core::model_placement placement(time, options);
  placement.Plan(models, engines, 1);
  int orders = 0;
  for (int i = 0; i < 100; ++i) {
    models[0].demand = i % 2 == 0 ? 5 : 15;
    const std::vector<core::placement_order> plan =
        placement.Plan(models, engines, 1);
    orders += static_cast<int>(plan.size());
    Execute(plan);
    CompleteLoads();
    time.Advance(std::chrono::seconds(1));
  }
  CHECK_EQUAL(0, orders);
}
