#include "unit_tests/scenario/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "common/last_error.h"
#include "unit_tests/scenario/process_sockets.h"

namespace wisteriadale::scenario {
namespace {

constexpr int kLogMode = 0644;
constexpr int kExecFailed = 127;
constexpr int64_t kKilobyte = 1024;

/// Replaces the forked child by the command; exits with kExecFailed when that
/// fails.
[[noreturn]] void Execute(const std::vector<std::string>& command,
                          const std::string& log_file,
                          const process_limits& limits, pid_t runner) {
  // Kills the child when the runner is killed. The check of the parent covers a
  // runner that died before the call.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != runner) _exit(kExecFailed);
  const rlimit files = {limits.max_files, limits.max_files};
  if (limits.max_files > 0 && setrlimit(RLIMIT_NOFILE, &files) != 0) {
    _exit(kExecFailed);
  }
  const int log = open(log_file.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) _exit(kExecFailed);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(kExecFailed);
}

}  // namespace

std::optional<std::unique_ptr<child_process>> child_process::Start(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& log_file, const process_limits& limits) {
  std::vector<std::string> command = {program};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const pid_t runner = getpid();
  const pid_t pid = fork();
  if (pid == 0) Execute(command, log_file, limits, runner);
  if (pid < 0) {
    common::SetLastError(common::result_code::kInternal, "fork failed");
    return std::nullopt;
  }
  return std::unique_ptr<child_process>(new child_process(pid, log_file));
}

child_process::~child_process() {
  if (ExitCode()) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
}

void child_process::Signal(int number) const {
  if (!exit_code_) kill(pid_, number);
}

std::optional<int> child_process::ExitCode() {
  if (exit_code_) return exit_code_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return exit_code_;
}

int64_t child_process::ResidentKilobytes() const {
  std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * (sysconf(_SC_PAGESIZE) / kKilobyte);
}

int64_t child_process::PeakKilobytes() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string name;
  int64_t kilobytes = 0;
  while (status >> name) {
    if (name == "VmHWM:" && status >> kilobytes) return kilobytes;
  }
  return 0;
}

int64_t child_process::UnreadKilobytes() const {
  return UnreadBytes(pid_) / kKilobyte;
}

bool child_process::HasOpenedSockets() const {
  std::error_code error;
  const std::filesystem::path process = "/proc/" + std::to_string(pid_);
  const std::filesystem::path program =
      std::filesystem::read_symlink(process / "exe", error);
  // Before exec, the process has the sockets of the runner.
  if (program == std::filesystem::read_symlink("/proc/self/exe", error)) {
    return false;
  }
  for (const std::filesystem::directory_entry& file :
       std::filesystem::directory_iterator(process / "fd", error)) {
    const std::string target =
        std::filesystem::read_symlink(file.path(), error).string();
    if (target.starts_with("socket:") || target.starts_with("anon_inode:")) {
      return true;
    }
  }
  return false;
}

}  // namespace wisteriadale::scenario
