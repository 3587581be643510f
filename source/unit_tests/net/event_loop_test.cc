#include "net/event_loop.h"

#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
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

// Gateways that were stuck in one call went on for ever, and nothing ended
// them.
TEST(EventLoop, ProcessThatIsStuckInOneCallAborts) {
  const pid_t child = fork();
  if (child == 0) {
    const std::unique_ptr<net::event_loop> loop =
        std::move(*net::event_loop::Create({}));
    loop->StartWatchdog(1);
    loop->Schedule(std::chrono::milliseconds(1), [] {
      for (volatile uint64_t i = 0;; i = i + 1) {
      }
    });
    loop->Run();
    _exit(0);
  }
  CHECK(child > 0);
  int status = 0;
  CHECK_EQUAL(child, waitpid(child, &status, 0));
  CHECK(WIFSIGNALED(status));
  LONGS_EQUAL(SIGABRT, WTERMSIG(status));
}
