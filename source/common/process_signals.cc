#include "common/process_signals.h"

#include <atomic>
#include <csignal>

namespace wisteriadale::common {
namespace {

// The only state that the signal handlers may access.
volatile std::sig_atomic_t stop_signals = 0;
volatile std::sig_atomic_t reload_signals = 0;
std::atomic<void (*)()> waker = nullptr;
static_assert(std::atomic<void (*)()>::is_always_lock_free);

void Wake() {
  void (*const wake)() = waker;
  if (wake != nullptr) wake();
}

void HandleStopSignal(int) {
  stop_signals = stop_signals + 1;
  Wake();
}

void HandleReloadSignal(int) {
  reload_signals = reload_signals + 1;
  Wake();
}

void SetHandler(int signal, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  sigaction(signal, &action, nullptr);
}

}  // namespace

void CatchSignals() {
  SetHandler(SIGTERM, HandleStopSignal);
  SetHandler(SIGINT, HandleStopSignal);
  SetHandler(SIGHUP, HandleReloadSignal);
  SetHandler(SIGPIPE, SIG_IGN);
  SetHandler(SIGXFSZ, SIG_IGN);
}

int StopSignalCount() { return stop_signals; }

int ReloadSignalCount() { return reload_signals; }

void SetSignalWaker(void (*wake)()) { waker = wake; }

}  // namespace wisteriadale::common
