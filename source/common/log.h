#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::common {

/// Part of the system that a log line belongs to.
enum class log_channel {
  kMain,
  kCore,
  kNet,
  kPlatform,
  kRequest,
  kConfiguration,
  kMembership,
  kOperations,
  kOrders,
  kCount
};

enum class log_level { kDebug, kInfo, kWarning, kError };

/// The request a log line belongs to; both empty for none.
struct log_subject {
  std::string_view request_id;
  std::string_view trace_id;
};

/// How a process logs.
struct log_options {
  std::string process;                 ///< name shown in each line
  log_level level = log_level::kInfo;  ///< lowest level that is written
  bool json = false;                   ///< one JSON object per line, events too
  std::string file;  ///< empty: standard output for JSON, else standard error
};

/// Sets up logging for the process. Call once, before the first line.
void StartLogging(const log_options& options);

/// Sets the lowest level of one channel.
void SetLogLevel(log_channel channel, log_level level);

/// Logs one line. Callers must not pass request bodies or keys.
void Log(log_channel channel, log_level level, std::string_view message,
         const log_subject& subject = {});

/// @return whether events are logged
bool EventLoggingEnabled();
/// @return the start of a JSON line: time, process and event
std::string BeginJsonLine(std::string_view event);
/// Appends a text as a quoted and escaped JSON string.
void AppendJsonString(std::string_view text, std::string* to);
/// Writes one line without blocking on the reader: when a pipe, socket or
/// terminal is full, the line is dropped, and the next one reports how many
/// were.
void WriteLogLine(std::string_view line);

/// @return the channel's name as used in settings
std::string_view ToString(log_channel channel);

/// @return the channel or level of that name, or nothing
std::optional<log_channel> LogChannelFromName(std::string_view name);
std::optional<log_level> LogLevelFromName(std::string_view name);

}  // namespace wisteriadale::common
