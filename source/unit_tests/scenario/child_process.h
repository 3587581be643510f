#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Runner of Lua scenarios against the processes of the product.
namespace wisteriadale::scenario {

/// Limits of a child process; 0 leaves the runner's own.
struct process_limits {
  uint64_t max_files = 0;  ///< open descriptors
};

/// A child process of the system under test. It is killed when its object is
/// destroyed and when the runner dies.
class child_process {
 public:
  /// @param program   path of the binary
  /// @param arguments without the program's name
  /// @param log_file  receives standard output and standard error, appended
  /// @param limits    apply from the start of the program
  /// @return the process, or nothing with LastError set
  static std::optional<std::unique_ptr<child_process>> Start(
      const std::string& program, const std::vector<std::string>& arguments,
      const std::string& log_file, const process_limits& limits = {});
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal, unless the process is known to have ended.
  /// @param number of the signal, such as SIGTERM
  void Signal(int number) const;
  /// @return the exit code; the negative signal number if a signal ended the
  /// process; nothing while it runs
  std::optional<int> ExitCode();
  /// @return resident memory in kilobytes; 0 when it cannot be read
  int64_t ResidentKilobytes() const;
  /// @return highest resident memory so far, in kilobytes; 0 when it cannot be
  /// read
  int64_t PeakKilobytes() const;
  /// @return kilobytes that the process has received over TCP and not read yet
  int64_t UnreadKilobytes() const;
  /// @return whether the process has a socket or an event queue: its own code
  ///         runs, not the dynamic linker
  bool HasOpenedSockets() const;
  const std::string& log_file() const { return log_file_; }

 private:
  child_process(pid_t pid, std::string log_file)
      : pid_(pid), log_file_(std::move(log_file)) {}

  pid_t pid_;
  std::string log_file_;
  std::optional<int> exit_code_;
};

}  // namespace wisteriadale::scenario
