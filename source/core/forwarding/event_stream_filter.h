#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// Cuts the body of an event stream into whole events, so that a stream that
/// breaks within an event can go on at another target. Events that were passed
/// on before are left out.
class event_stream_filter {
 public:
  /// @param data bytes of the body as they arrive
  /// @return whole events that are new, as received
  std::string Feed(std::string_view data);
  /// @return bytes after the last whole event
  std::string_view rest() const { return pending_; }
  /// A new run goes on after the last event: what was cut is dropped.
  void Restart() { pending_.clear(); }
  /// @return id of the last event that was passed on, as received
  const std::optional<std::string>& last_id() const { return last_id_; }

 private:
  bool IsNew(std::string_view event);

  std::string pending_;
  std::optional<std::string> last_id_;
};

}  // namespace wisteriadale::core
