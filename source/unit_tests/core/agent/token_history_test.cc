#include "core/agent/token_history.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using core::token_state;

TEST_GROUP(TokenHistory) {
  static constexpr uint64_t kFirst = 1000;
  fakes::virtual_time time;
  core::token_history_options options{std::chrono::seconds(10), 3, 4};
  core::token_history history{options, kFirst, time};
};

TEST(TokenHistory, AnEvictedTokenIsNeverReportedAsNew) {
  CHECK(history.Set("t", token_state::kBegun));
  time.Advance(std::chrono::seconds(25));
  CHECK(history.StateOf("t", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(10));
  CHECK(history.StateOf("t", kFirst) == token_state::kExpired);
  CHECK(history.size() == 0);
}

TEST(TokenHistory, WindowsOfAnotherIncarnationAreExpired) {
  CHECK(history.StateOf("t", kFirst - 1) == token_state::kExpired);
  CHECK(history.StateOf("t", kFirst + 1) == token_state::kExpired);
  CHECK(!history.IsDispatchable(kFirst - 1));
  CHECK(!history.IsDispatchable(kFirst + 1));
  CHECK(history.IsDispatchable(kFirst));
}

TEST(TokenHistory, ATokenIsDispatchableForOneMoreWindow) {
  time.Advance(std::chrono::seconds(19));
  CHECK(history.IsDispatchable(kFirst));
  time.Advance(std::chrono::seconds(1));
  CHECK(!history.IsDispatchable(kFirst));
}

TEST(TokenHistory, WhenFullItRefusesRatherThanEvictsDispatchableTokens) {
  for (const char* token : {"a", "b", "c", "d"}) {
    CHECK(history.Set(token, token_state::kBegun));
  }
  CHECK(!history.Set("e", token_state::kBegun));
  CHECK(history.StateOf("a", kFirst) == token_state::kBegun);
  time.Advance(std::chrono::seconds(20));
  CHECK(history.Set("e", token_state::kBegun));
  CHECK(history.StateOf("a", kFirst) == token_state::kExpired);
}
