#include "core/membership/link_monitor.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(LinkMonitor) {
  core::link_monitor monitor{core::link_monitor_options()};
  common::time_point now{};

  void setup() override { monitor.OnOpened(now); }
  /// Advances time in steps of 50 ms.
  /// @param answered whether each ping is answered at once
  /// @return pings sent, or -1 as soon as the link has timed out
  int Advance(common::duration span, bool busy, bool answered) {
    constexpr common::duration kStep = std::chrono::milliseconds(50);
    int pings = 0;
    for (common::duration passed{0}; passed < span; passed += kStep) {
      now += kStep;
      if (monitor.TimedOut(now)) return -1;
      if (!monitor.StartPingIfDue(now, busy)) continue;
      ++pings;
      if (answered) monitor.OnPong();
    }
    return pings;
  }
};

TEST(LinkMonitor, IdleLinkIsPingedAnEighthAsOften) {
  CHECK_EQUAL(5, Advance(std::chrono::seconds(10), false, true));
  CHECK_EQUAL(40, Advance(std::chrono::seconds(10), true, true));
}

TEST(LinkMonitor, DeadBusyLinkIsDetectedWithinTheLimit) {
  CHECK(Advance(std::chrono::milliseconds(1000), true, false) > 0);
  CHECK_EQUAL(-1, Advance(std::chrono::milliseconds(500), true, false));
}

TEST(LinkMonitor, DeadIdleLinkIsDetectedWithinThreeSeconds) {
  CHECK(Advance(std::chrono::milliseconds(2900), false, false) > 0);
  CHECK_EQUAL(-1, Advance(std::chrono::milliseconds(300), false, false));
}

TEST(LinkMonitor, DeadIdleLinkIsDetectedFromTheDispatchOfWork) {
  Advance(std::chrono::milliseconds(500), false, true);
  monitor.OnSent(now);
  CHECK(Advance(std::chrono::milliseconds(1000), true, false) > 0);
  CHECK_EQUAL(-1, Advance(std::chrono::milliseconds(200), true, false));
}

TEST(LinkMonitor, OneWayLossIsDetectedWhileBytesStillArrive) {
  bool timed_out = false;
  for (int i = 0; i < 25 && !timed_out; ++i) {
    timed_out = Advance(std::chrono::milliseconds(100), true, false) < 0;
    monitor.OnReceived();  // bytes of a stream still arrive
  }
  CHECK(timed_out);
}

TEST(LinkMonitor, LongIdleTimeWithoutAnUnansweredMessageIsNoTimeout) {
  now += std::chrono::minutes(5);
  CHECK(!monitor.TimedOut(now));
}
