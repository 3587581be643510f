#include "common/log.h"

#include <easylogging++.h>

#include <array>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace wisteriadale::common {
namespace {

constexpr size_t kChannels = static_cast<size_t>(log_channel::kCount);
constexpr std::array<std::string_view, kChannels> kChannelNames = {
    "main",          "core",       "net",        "platform", "request",
    "configuration", "membership", "operations", "orders"};
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

struct log_state {
  log_options options;
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
    nlohmann::json line = {{"level", level_name},
                           {"process", State().options.process},
                           {"channel", ToString(channel)},
                           {"message", message}};
    if (!subject.request_id.empty()) line["request_id"] = subject.request_id;
    if (!subject.trace_id.empty()) line["trace_id"] = subject.trace_id;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    line["time_us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
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

}  // namespace

void StartLogging(const log_options& options) {
  State().options = options;
  State().levels.fill(options.level);
  State().started = true;
  el::Configurations configuration;
  configuration.setToDefault();
  const std::string format = options.json ? "%msg" : "%datetime %msg";
  configuration.setGlobally(el::ConfigurationType::Format, format);
  const bool to_file = !options.file.empty();
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            to_file ? "true" : "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (to_file) {
    configuration.setGlobally(el::ConfigurationType::Filename, options.file);
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void SetLogLevel(log_channel channel, log_level level) {
  State().levels[static_cast<size_t>(channel)] = level;
}

void Log(log_channel channel, log_level level, std::string_view message,
         const log_subject& subject) {
  if (!State().started) return;
  if (level < State().levels[static_cast<size_t>(channel)]) return;
  const std::string line = Render(channel, level, message, subject);
  if (State().options.file.empty()) {
    // Easylogging writes only to standard output, which belongs to results.
    std::fprintf(stderr, "%s\n", line.c_str());
    return;
  }
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
