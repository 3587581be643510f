#include "common/log.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "common/event_log.h"

INITIALIZE_EASYLOGGINGPP

namespace wisteriadale::common {
namespace {

constexpr size_t kTypicalLineBytes = 320;
constexpr size_t kChannels = static_cast<size_t>(log_channel::kCount);
constexpr std::array<std::string_view, kChannels> kChannelNames = {
    "main",          "core",       "net",        "platform", "request",
    "configuration", "membership", "operations", "orders"};
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

// Lines per second through Log; events have rate limits of their own.
constexpr double kLinesPerSecond = 200;

struct log_state {
  log_options options;
  log_rate_limiter rate{kLinesPerSecond};
  uint64_t unwritten = 0;  ///< lines dropped because the output took no more
  bool line_cut = false;   ///< the output took only a part of the last line
  std::array<log_level, kChannels> levels{};
  bool started = false;
};

log_state& State() {
  static log_state state;
  return state;
}

std::string Render(log_channel channel, log_level level,
                   std::string_view message, const log_subject& subject) {
  std::string_view level_name = kLevelNames[static_cast<size_t>(level)];
  if (State().options.json) {
    std::string line = BeginJsonLine("message");
    line.append(",\"level\":\"").append(level_name);
    line.append("\",\"channel\":\"").append(ToString(channel));
    line.append("\",\"message\":");
    AppendJsonString(message, &line);
    if (!subject.request_id.empty()) {
      line.append(",\"request_id\":");
      AppendJsonString(subject.request_id, &line);
    }
    if (!subject.trace_id.empty()) {
      line.append(",\"trace_id\":");
      AppendJsonString(subject.trace_id, &line);
    }
    const uint64_t suppressed = State().rate.TakeSuppressed();
    if (suppressed > 0) {
      line.append(",\"left_out\":").append(std::to_string(suppressed));
    }
    line.push_back('}');
    return line;
  }
  std::string line(level_name);
  line.append(" ").append(State().options.process);
  line.append(" [").append(ToString(channel)).append("] ").append(message);
  if (!subject.request_id.empty()) {
    line.append(" request=").append(subject.request_id);
  }
  if (!subject.trace_id.empty()) {
    line.append(" trace=").append(subject.trace_id);
  }
  return line;
}

/// Writes the lines that the logging library dispatches.
class line_writer final : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    std::string line = data->logMessage()->message() + "\n";
    if (State().line_cut) line.insert(0, "\n");
    const bool to_output = State().options.json;
    const int fd = to_output ? STDOUT_FILENO : STDERR_FILENO;
    // One call per line, so that a full pipe takes it whole or not at all.
    const ssize_t written = write(fd, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size())) {
      State().line_cut = false;
      return;
    }
    State().unwritten += 1;
    State().line_cut = State().line_cut ? written != 1 : written > 0;
  }
};

/// Makes writes to pipes, sockets and terminals fail when nobody reads them.
void SetOutputNonBlocking() {
  for (const int fd : {STDOUT_FILENO, STDERR_FILENO}) {
    struct stat about {};
    if (fstat(fd, &about) != 0 || S_ISREG(about.st_mode)) continue;
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  }
}

}  // namespace

void StartLogging(const log_options& options) {
  State().options = options;
  State().levels.fill(options.level);
  State().started = true;
  el::Configurations configuration;
  configuration.setToDefault();
  const std::string format = "%msg";
  configuration.setGlobally(el::ConfigurationType::Format, format);
  const bool to_file = !options.file.empty();
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            to_file ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (to_file) {
    configuration.setGlobally(el::ConfigurationType::Filename, options.file);
  }
  el::Loggers::reconfigureAllLoggers(configuration);
  if (to_file) return;
  SetOutputNonBlocking();
  el::Helpers::installLogDispatchCallback<line_writer>("line_writer");
}

bool EventLoggingEnabled() {
  return State().started && State().options.json &&
         State().options.level <= log_level::kInfo;
}

std::string BeginJsonLine(std::string_view event) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  std::string line;
  line.reserve(kTypicalLineBytes);
  line.append("{\"time_us\":")
      .append(std::to_string(
          std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
  line.append(",\"process\":");
  AppendJsonString(State().options.process, &line);
  line.append(",\"event\":\"").append(event).append("\"");
  if (State().unwritten > 0) {
    line.append(",\"unwritten\":").append(std::to_string(State().unwritten));
    State().unwritten = 0;
  }
  return line;
}

void AppendJsonString(std::string_view text, std::string* to) {
  const bool plain = std::all_of(text.begin(), text.end(), [](char letter) {
    return letter >= ' ' && letter < 0x7f && letter != '"' && letter != '\\';
  });
  if (plain) {
    to->append("\"").append(text).append("\"");
    return;
  }
  to->append(nlohmann::json(text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void WriteLogLine(std::string_view line) { LOG(INFO) << line; }

void SetLogLevel(log_channel channel, log_level level) {
  State().levels[static_cast<size_t>(channel)] = level;
}

void Log(log_channel channel, log_level level, std::string_view message,
         const log_subject& subject) {
  if (!State().started) return;
  if (level < State().levels[static_cast<size_t>(channel)]) return;
  static const system_clock kClock;
  if (!State().rate.Admit(kClock.Now())) return;
  const std::string line = Render(channel, level, message, subject);
  switch (level) {
    case log_level::kDebug:
      LOG(DEBUG) << line;
      break;
    case log_level::kInfo:
      LOG(INFO) << line;
      break;
    case log_level::kWarning:
      LOG(WARNING) << line;
      break;
    case log_level::kError:
      LOG(ERROR) << line;
      break;
  }
}

std::string_view ToString(log_channel channel) {
  return kChannelNames[static_cast<size_t>(channel)];
}

std::optional<log_channel> LogChannelFromName(std::string_view name) {
  for (size_t i = 0; i < kChannels; ++i) {
    if (kChannelNames[i] == name) return static_cast<log_channel>(i);
  }
  return std::nullopt;
}

std::optional<log_level> LogLevelFromName(std::string_view name) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name) return static_cast<log_level>(i);
  }
  return std::nullopt;
}

}  // namespace wisteriadale::common
