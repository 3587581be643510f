#include "core/stages/result_memory.h"

#include <string>
#include <vector>

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using common::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kResultBytes = 60000;
constexpr uint64_t kCapacityBytes = 1300000;
constexpr seconds kLifetime{4};

core::batch_spec Spec() {
  core::batch_spec spec;
  spec.result_capacity_bytes = kCapacityBytes;
  spec.result_lifetime = kLifetime;
  return spec;
}

}  // namespace

TEST_GROUP(ResultMemory) {
  common::time_point now{seconds(100)};
  core::result_memory memory;

  void setup() override { memory.SetSpec(Spec()); }
  void Call(bool denied) {
    memory.OnCallStart("t", kResultBytes, now);
    memory.OnCallEnd("t", {kResultBytes, denied}, now);
  }
};

TEST(ResultMemory, ResultsOccupyMemoryUntilTheyAreFreedOrExpire) {
  memory.Add("h1", "t", 1000, now, now);
  memory.Add("h2", "t", 500, now, now);
  CHECK_EQUAL(kCapacityBytes - 1500, memory.Left("t"));
  const std::vector<std::string> freed = {"h1", "unknown"};
  memory.Free(freed, now);
  CHECK_EQUAL(kCapacityBytes - 500, memory.Left("t"));
  memory.DropExpired(now + kLifetime);
  CHECK_EQUAL(kCapacityBytes, memory.Left("t"));
}

TEST(ResultMemory, ATargetWithoutMemoryIsTrustedWithLess) {
  for (int i = 0; i < 10; ++i) {
    Call(false);
    now += milliseconds(500);
  }
  CHECK_EQUAL(kCapacityBytes, memory.Left("t"));
  Call(true);
  const uint64_t left = memory.Left("t");
  CHECK(left < kCapacityBytes);
  Call(false);
  CHECK(memory.Left("t") > left);
}

TEST(ResultMemory, WhatAnOwnerBeforeHasLeftSaysNothingAboutSizes) {
  Call(true);
  now += kLifetime - seconds(1);
  CHECK_EQUAL(kCapacityBytes, memory.Left("t"));
  for (int i = 0; i < 10; ++i) {
    Call(false);
    now += milliseconds(500);
  }
  // Idle for so long that another gateway may have owned the queue.
  now += seconds(3);
  Call(true);
  CHECK_EQUAL(kCapacityBytes, memory.Left("t"));
}

// An entry stayed for each start of a target, which has a new id.
TEST(ResultMemory, TargetsThatAreGoneAreForgotten) {
  for (int i = 0; i < 10000; ++i) {
    const std::string target = "t" + std::to_string(i);
    const std::vector<std::string> handle = {target};
    memory.OnCallStart(target, kResultBytes, now);
    memory.OnCallEnd(target, {kResultBytes, i % 2 == 0}, now);
    memory.Add(target, target, kResultBytes, now, now);
    memory.Free(handle, now);
    now += seconds(1);
    memory.DropExpired(now);
    CHECK(memory.targets() < 100);
  }
  now += seconds(100);
  memory.DropExpired(now);
  CHECK_EQUAL(0, memory.targets());
}

TEST(ResultMemory, RoomForResultsFollowsTheTimeForWhichTheyAreNeeded) {
  CHECK(memory.ResultsPerSecond("t") > 1e9);
  for (int i = 0; i < 300; ++i) {
    const std::vector<std::string> handle = {"h" + std::to_string(i)};
    memory.Add(handle.front(), "t", kCapacityBytes / 10, now,
               now + milliseconds(300));
    memory.Free(handle, now + milliseconds(500));
  }
  // Ten fit, each for half a second.
  DOUBLES_EQUAL(20, memory.ResultsPerSecond("t"), 0.1);
}
