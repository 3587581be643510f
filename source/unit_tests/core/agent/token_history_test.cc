#include "core/agent/token_history.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::token_state;

TEST_GROUP(TokenHistory) {
  static constexpr uint64_t kFirst = 1000;
  fakes::virtual_time time;
  core::token_history_options options{std::chrono::seconds(10), 3, 4};
  core::token_history memory{options, kFirst, time};
};

TEST(TokenHistory, ATokenThatIsNotKeptAnyMoreIsNeverCalledNew) {
  CHECK(memory.Set("t", token_state::kBegun));
  time.Advance(std::chrono::seconds(25));
  CHECK(memory.StateOf("t", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(10));
  CHECK(memory.StateOf("t", kFirst) == token_state::kExpired);
  CHECK(memory.size() == 0);
}

TEST(TokenHistory, WindowsOfAnotherIncarnationAreTooOldToTell) {
  CHECK(memory.StateOf("t", kFirst - 1) == token_state::kExpired);
  CHECK(memory.StateOf("t", kFirst + 1) == token_state::kExpired);
  CHECK(!memory.IsDispatchable(kFirst - 1));
  CHECK(!memory.IsDispatchable(kFirst + 1));
  CHECK(memory.IsDispatchable(kFirst));
}

TEST(TokenHistory, ADispatchIsFreshForOneWindowMore) {
  time.Advance(std::chrono::seconds(19));
  CHECK(memory.IsDispatchable(kFirst));
  time.Advance(std::chrono::seconds(1));
  CHECK(!memory.IsDispatchable(kFirst));
}

TEST(TokenHistory, WhenFullItRefusesRatherThanForgetsWhatMayBeDispatched) {
  for (const char* token : {"a", "b", "c", "d"}) {
    CHECK(memory.Set(token, token_state::kBegun));
  }
  CHECK(!memory.Set("e", token_state::kBegun));
  CHECK(memory.StateOf("a", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(20));
  CHECK(memory.Set("e", token_state::kBegun));
  CHECK(memory.StateOf("a", kFirst) == token_state::kExpired);
}
