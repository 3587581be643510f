#include "core/membership/link_monitor.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(LinkMonitor) {
  core::link_monitor monitor{core::link_monitor_options()};
  common::time_point now{};

  void setup() override { monitor.OnOpened(now); }
  /// Ticks every 50 ms. @return pings sent, or -1 once the link is silent
  int Tick(common::duration span, bool busy, bool answered) {
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

TEST(LinkMonitor, AnIdleLinkIsAskedAnEighthAsOften) {
  CHECK_EQUAL(5, Tick(std::chrono::seconds(10), false, true));
  CHECK_EQUAL(40, Tick(std::chrono::seconds(10), true, true));
}

TEST(LinkMonitor, ABusyLinkThatFallsSilentIsNoticedWithinTheBound) {
  CHECK(Tick(std::chrono::milliseconds(1000), true, false) > 0);
  CHECK_EQUAL(-1, Tick(std::chrono::milliseconds(500), true, false));
}

TEST(LinkMonitor, AnIdleLinkThatFallsSilentIsNoticedWithinThreeSeconds) {
  CHECK(Tick(std::chrono::milliseconds(2900), false, false) > 0);
  CHECK_EQUAL(-1, Tick(std::chrono::milliseconds(300), false, false));
}

TEST(LinkMonitor, WorkSentOverASilentIdleLinkIsNoticedFromItsDispatch) {
  Tick(std::chrono::milliseconds(500), false, true);
  monitor.OnSent(now);
  CHECK(Tick(std::chrono::milliseconds(1000), true, false) > 0);
  CHECK_EQUAL(-1, Tick(std::chrono::milliseconds(200), true, false));
}

TEST(LinkMonitor, OneWaySilenceIsNoticedAlthoughBytesStillArrive) {
  bool silent = false;
  for (int i = 0; i < 25 && !silent; ++i) {
    silent = Tick(std::chrono::milliseconds(100), true, false) < 0;
    monitor.OnReceived();  // a stream goes on
  }
  CHECK(silent);
}

TEST(LinkMonitor, ALongSilenceBeforeAnythingWasAskedIsNoFault) {
  now += std::chrono::minutes(5);
  CHECK(!monitor.TimedOut(now));
}
