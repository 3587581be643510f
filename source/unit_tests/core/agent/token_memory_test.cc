#include "core/agent/token_memory.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::token_state;

TEST_GROUP(TokenMemory) {
  static constexpr uint64_t kFirst = 1000;
  fakes::virtual_time time;
  core::token_memory_options options{std::chrono::seconds(10), 3, 4};
  core::token_memory memory{options, kFirst, time};
};

TEST(TokenMemory, ATokenThatIsNotKeptAnyMoreIsNeverCalledNew) {
  CHECK(memory.Set("t", token_state::kBegun));
  time.Advance(std::chrono::seconds(25));
  CHECK(memory.StateOf("t", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(10));
  CHECK(memory.StateOf("t", kFirst) == token_state::kForgotten);
  CHECK(memory.size() == 0);
}

TEST(TokenMemory, WindowsOfAnotherIncarnationAreTooOldToTell) {
  CHECK(memory.StateOf("t", kFirst - 1) == token_state::kForgotten);
  CHECK(memory.StateOf("t", kFirst + 1) == token_state::kForgotten);
  CHECK(!memory.Fresh(kFirst - 1));
  CHECK(!memory.Fresh(kFirst + 1));
  CHECK(memory.Fresh(kFirst));
}

TEST(TokenMemory, ADispatchIsFreshForOneWindowMore) {
  time.Advance(std::chrono::seconds(19));
  CHECK(memory.Fresh(kFirst));
  time.Advance(std::chrono::seconds(1));
  CHECK(!memory.Fresh(kFirst));
}

TEST(TokenMemory, WhenFullItRefusesRatherThanForgetsWhatMayBeDispatched) {
  for (const char* token : {"a", "b", "c", "d"}) {
    CHECK(memory.Set(token, token_state::kBegun));
  }
  CHECK(!memory.Set("e", token_state::kBegun));
  CHECK(memory.StateOf("a", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(20));
  CHECK(memory.Set("e", token_state::kBegun));
  CHECK(memory.StateOf("a", kFirst) == token_state::kForgotten);
}
