#include "core/forwarding/event_stream_filter.h"

#include <charconv>

namespace wisteriadale::core {
namespace {

constexpr std::string_view kIdField = "id:";

/// @return length up to and including the first blank line; 0 if there is none
size_t EventLength(std::string_view text) {
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = text.find('\n', at);
    if (end == std::string_view::npos) return 0;
    const std::string_view line = text.substr(at, end - at);
    const bool blank = line.empty() || line == "\r";
    // Blank lines before the first field do not end an event.
    if (blank && at > 0) return end + 1;
    at = end + 1;
  }
  return 0;
}

/// @return the value of the event's last id field, or nothing
std::optional<std::string_view> FindId(std::string_view event) {
  size_t at = 0;
  std::optional<std::string_view> id;
  while (at < event.size()) {
    size_t end = event.find('\n', at);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(at, end - at);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' ')) line.remove_prefix(1);
      id = line;
    }
    at = end + 1;
  }
  return id;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

bool event_stream_filter::IsNew(std::string_view event) {
  const std::optional<std::string_view> id = FindId(event);
  if (!id) return true;
  const std::optional<uint64_t> number = ParseNumber(*id);
  if (last_id_ && number) {
    const std::optional<uint64_t> last = ParseNumber(*last_id_);
    if (last && *number <= *last) return false;
  }
  last_id_.emplace(*id);
  return true;
}

std::string event_stream_filter::Feed(std::string_view data) {
  pending_.append(data);
  std::string events;
  size_t consumed = 0;
  while (true) {
    const std::string_view remaining =
        std::string_view(pending_).substr(consumed);
    const size_t length = EventLength(remaining);
    if (length == 0) break;
    const std::string_view event = remaining.substr(0, length);
    if (IsNew(event)) events.append(event);
    consumed += length;
  }
  pending_.erase(0, consumed);
  return events;
}

}  // namespace wisteriadale::core
