#include "net/peer_progress.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(PeerProgress) {
  static constexpr common::duration kStep = std::chrono::milliseconds(50);
  const common::time_point start{std::chrono::seconds(100)};
  net::peer_progress progress;

  void setup() override { progress.Begin(start, 0); }
  /// Samples a peer until it is no longer taken for alive.
  /// @param acknowledges whether it answers probes each second
  /// @return the time that took, at most a minute
  common::duration EndOf(bool acknowledges, net::peer_state* end) {
    common::duration passed{};
    while (passed < std::chrono::minutes(1)) {
      passed += progress.NextCheck();
      const common::duration since =
          acknowledges ? passed % std::chrono::seconds(1) : passed;
      *end = progress.Judge({start + passed, 0, since});
      if (*end != net::peer_state::kAlive) break;
    }
    return passed;
  }
};

TEST(PeerProgress, APeerThatAcknowledgesNothingIsNoticedWithinTwoSeconds) {
  net::peer_state end = net::peer_state::kAlive;
  const common::duration took = EndOf(false, &end);
  CHECK(end == net::peer_state::kSilent);
  CHECK(took >= net::kSilenceTimeout);
  CHECK(took < std::chrono::seconds(2));
}

TEST(PeerProgress, APeerWithAClosedWindowHasALimitOfItsOwn) {
  net::peer_state end = net::peer_state::kAlive;
  const common::duration took = EndOf(true, &end);
  CHECK(end == net::peer_state::kStalled);
  CHECK(took >= std::chrono::seconds(30));
  CHECK(took < std::chrono::seconds(31));
}

// The last acknowledgement of a connection that was idle is old.
TEST(PeerProgress, APeerThatWasIdleHasTheWholeTime) {
  constexpr common::duration kIdle = std::chrono::seconds(50);
  CHECK(progress.Judge({start + kStep, 0, kIdle}) == net::peer_state::kAlive);
  CHECK(progress.Judge({start + net::kSilenceTimeout - kStep, 0, kIdle}) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge({start + net::kSilenceTimeout, 0, kIdle}) ==
        net::peer_state::kSilent);
}

TEST(PeerProgress, APeerThatTakesBytesNowAndThenIsAlive) {
  constexpr common::duration kPause = std::chrono::seconds(20);
  common::time_point now = start;
  for (uint64_t delivered = 1; delivered < 20; ++delivered) {
    now += kPause;
    CHECK(progress.Judge({now, delivered, kStep}) == net::peer_state::kAlive);
  }
}
