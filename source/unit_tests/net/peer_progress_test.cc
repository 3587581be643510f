#include "net/peer_progress.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(PeerProgress) {
  static constexpr common::duration kStep = std::chrono::milliseconds(50);
  const common::time_point start{std::chrono::seconds(100)};
  net::peer_progress progress;

  void setup() override { progress.Begin(start, 0); }
  /// @return a sample of a peer with unacknowledged bytes
  net::peer_sample Lacking(common::time_point now, uint64_t delivered,
                           common::duration since) const {
    return {now, delivered, since, 1, 0};
  }
  /// Samples a peer until it is no longer taken for alive.
  /// @param acknowledges whether it acknowledges something each second
  /// @return the time that took, at most a minute
  common::duration EndOf(bool acknowledges, net::peer_state* end) {
    common::duration passed{};
    while (passed < std::chrono::minutes(1)) {
      passed += progress.NextCheck();
      const common::duration since =
          acknowledges ? passed % std::chrono::seconds(1) : passed;
      *end = progress.Judge(Lacking(start + passed, 0, since));
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
  CHECK(progress.Judge(Lacking(start + kStep, 0, kIdle)) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge(Lacking(start + net::kSilenceTimeout - kStep, 0,
                               kIdle)) == net::peer_state::kAlive);
  CHECK(progress.Judge(Lacking(start + net::kSilenceTimeout, 0, kIdle)) ==
        net::peer_state::kSilent);
}

TEST(PeerProgress, APeerThatTakesBytesNowAndThenIsAlive) {
  constexpr common::duration kPause = std::chrono::seconds(20);
  common::time_point now = start;
  for (uint64_t delivered = 1; delivered < 20; ++delivered) {
    now += kPause;
    CHECK(progress.Judge(Lacking(now, delivered, kStep)) ==
          net::peer_state::kAlive);
  }
}

// A caller that halted was reset when one probe of its window was lost, or when
// the kernel sent none for longer than the limit.
TEST(PeerProgress, AClosedWindowIsNotSilenceWhileProbesAreAnswered) {
  constexpr common::duration kLong = std::chrono::seconds(20);
  CHECK(progress.Judge({start + kLong, 0, kLong, 0, 0}) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge({start + kLong, 0, kLong, 0, 1}) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge({start + kLong, 0, kStep, 0, 0}) ==
        net::peer_state::kAlive);
}

TEST(PeerProgress, ProbesThatStayUnansweredAreSilence) {
  constexpr common::duration kLong = std::chrono::seconds(3);
  const common::time_point now = start + kLong;
  CHECK(progress.Judge({now, 0, kLong, 0, 2}) == net::peer_state::kAlive);
  // The answer was on its way.
  CHECK(progress.Judge({now + kStep, 0, kStep, 0, 0}) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge({now + kLong, 0, kLong, 0, 2}) ==
        net::peer_state::kAlive);
  CHECK(progress.Judge({now + kLong + 2 * kStep, 0, kLong, 0, 2}) ==
        net::peer_state::kSilent);
}
