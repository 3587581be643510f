#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// Splits the body of an event stream (server-sent events) into complete
/// events, so that a stream that breaks within an event can be resumed on
/// another target. Drops events that have been forwarded before.
class event_stream_filter {
 public:
  /// @param data bytes of the body as they arrive
  /// @return complete events that are new, unchanged
  std::string Feed(std::string_view data);
  /// @return bytes after the last complete event
  std::string_view rest() const { return pending_; }
  /// @return whether a stream that ends now was broken off within an event
  bool WithinEvent() const {
    return pending_.find_first_not_of("\r\n") != std::string::npos;
  }
  /// Drops an incomplete event before the stream is resumed after the last one.
  void Restart() { pending_.clear(); }
  /// @return id of the last forwarded event, unchanged
  const std::optional<std::string>& last_id() const { return last_id_; }

 private:
  /// Records the id of a new event.
  /// @return whether the event has no id, or a later one than the last event
  bool IsNew(std::string_view event);

  std::string pending_;
  std::optional<std::string> last_id_;
};

}  // namespace wisteriadale::core
