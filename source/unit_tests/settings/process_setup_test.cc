#include "settings/process_setup.h"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "net/event_loop.h"
#include "settings/standin_settings.h"

// Included last: its macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

/// Sets a process up as main does; without an error.
void SetUp() {
  std::string program = "wisteria-standin";
  std::string name = "--set=/name=\"test\"";
  char* arguments[] = {program.data(), name.data(), nullptr};
  char** values = arguments;
  int count = 2;
  const settings::startup_result start = settings::SetUpProcess(
      &count, &values, program, "about", settings::StandinSettings());
  if (!start.settings) _exit(start.exit_code + 1);
}

/// @return the wait status of a process that runs the action after its set-up
template <typename action>
int StatusAfterSetUp(action run) {
  const pid_t child = fork();
  if (child == 0) {
    alarm(10);
    SetUp();
    run();
    _exit(0);
  }
  int status = 0;
  CHECK_EQUAL(child, waitpid(child, &status, 0));
  return status;
}

}  // namespace

TEST_GROUP(ProcessSetup){};

TEST(ProcessSetup, NoSignalEndsAProcessThatHasNoEventLoopYet) {
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGPIPE, SIGXFSZ}) {
    LONGS_EQUAL(0, StatusAfterSetUp([signal] { std::raise(signal); }));
  }
}

TEST(ProcessSetup, SignalsBeforeTheEventLoopAreHandledByIt) {
  const int status = StatusAfterSetUp([] {
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    const std::unique_ptr<net::event_loop> loop =
        std::move(*net::event_loop::Create({}));
    bool reloaded = false;
    loop->SetReloadSignalHandler([&reloaded] { reloaded = true; });
    loop->SetStopSignalHandler([&loop] { loop->Stop(); });
    loop->Run();
    _exit(reloaded ? 0 : 1);
  });
  LONGS_EQUAL(0, status);
}
