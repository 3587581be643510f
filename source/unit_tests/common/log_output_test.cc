#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "common/event_log.h"
#include "common/log.h"
#include "common/process_signals.h"

// Included last: its macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLines = 4000;
constexpr int kLineBytes = 300;
constexpr unsigned kSecondsUntilStuck = 5;

/// Logs many lines to the descriptor in another process, which an alarm ends
/// if it blocks.
/// @return the wait status of that process
int LogInChild(int output, rlim_t file_size) {
  const pid_t child = fork();
  if (child == 0) {
    alarm(kSecondsUntilStuck);
    common::CatchSignals();
    const rlimit limit{file_size, file_size};
    setrlimit(RLIMIT_FSIZE, &limit);
    dup2(output, STDOUT_FILENO);
    common::StartLogging({"p", common::log_level::kInfo, true, ""});
    const std::string line(kLineBytes, 'x');
    for (int i = 0; i < kLines; ++i) common::WriteLogLine(line);
    common::LogEvent(common::log_event::kStopped, "", {});
    _exit(0);
  }
  int status = 0;
  CHECK_EQUAL(child, waitpid(child, &status, 0));
  return status;
}

}  // namespace

TEST_GROUP(LogOutput){};

TEST(LogOutput, SocketThatNobodyReadsDoesNotBlock) {
  int ends[2];
  LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
  LONGS_EQUAL(0, LogInChild(ends[0], RLIM_INFINITY));
  close(ends[0]);
  close(ends[1]);
}

TEST(LogOutput, TerminalThatNobodyReadsDoesNotBlock) {
  const int controller = posix_openpt(O_RDWR | O_NOCTTY | O_CLOEXEC);
  CHECK(controller >= 0);
  LONGS_EQUAL(0, grantpt(controller));
  LONGS_EQUAL(0, unlockpt(controller));
  const int terminal = open(ptsname(controller), O_RDWR | O_NOCTTY);
  CHECK(terminal >= 0);
  LONGS_EQUAL(0, LogInChild(terminal, RLIM_INFINITY));
  close(terminal);
  close(controller);
}

TEST(LogOutput, FileThatMayNotGrowDoesNotEndTheProcess) {
  std::string name = "/tmp/wisteria-log-XXXXXX";
  const int file = mkstemp(name.data());
  CHECK(file >= 0);
  unlink(name.c_str());
  LONGS_EQUAL(0, LogInChild(file, 4096));
  close(file);
}

TEST(LogOutput, LineAfterACutOneBeginsAnew) {
  int ends[2];
  LONGS_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
  std::string received;
  const pid_t child = fork();
  if (child == 0) {
    alarm(kSecondsUntilStuck);
    dup2(ends[0], STDOUT_FILENO);
    common::StartLogging({"p", common::log_level::kInfo, true, ""});
    // Larger than the socket's buffer, so that only a part is sent.
    common::WriteLogLine(std::string(size_t{8} << 20, 'x'));
    pollfd writable{STDOUT_FILENO, POLLOUT, 0};
    poll(&writable, 1, -1);
    common::WriteLogLine("last");
    _exit(0);
  }
  close(ends[0]);
  char buffer[65536];
  for (ssize_t size = 1; size > 0;) {
    size = read(ends[1], buffer, sizeof(buffer));
    if (size > 0) received.append(buffer, static_cast<size_t>(size));
  }
  close(ends[1]);
  int status = 0;
  CHECK_EQUAL(child, waitpid(child, &status, 0));
  LONGS_EQUAL(0, status);
  CHECK(received.ends_with("x\nlast\n"));
}
