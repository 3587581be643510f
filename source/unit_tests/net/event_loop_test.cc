#include "net/event_loop.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

/// Cancels a timer when it is destroyed, as a response in progress does.
struct canceller {
  net::event_loop* loop;
  common::timer_id id;
  int* cancelled;
  ~canceller() {
    loop->Cancel(id);
    ++*cancelled;
  }
};

}  // namespace

TEST_GROUP(EventLoop){};

TEST(EventLoop, TimerCapturesMayCancelOtherTimersOnLoopDestruction) {
  constexpr int kTimers = 200;
  int cancelled = 0;
  {
    const std::optional<std::unique_ptr<net::event_loop>> loop =
        net::event_loop::Create({});
    CHECK(loop.has_value());
    for (int i = 0; i < kTimers; ++i) {
      const common::timer_id other =
          (*loop)->Schedule(std::chrono::hours(1), [] {});
      const std::shared_ptr<canceller> held = std::make_shared<canceller>(
          canceller{loop->get(), other, &cancelled});
      cancelled = 0;
      (*loop)->Schedule(std::chrono::hours(1), [held] {});
    }
  }
  CHECK_EQUAL(kTimers, cancelled);
}
