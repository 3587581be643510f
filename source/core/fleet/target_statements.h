#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "core/fleet/target_directory.h"

namespace wisteriadale::core {

/// What a target says of itself in a response.
struct target_statement {
  /// It takes no new requests until it has started again.
  bool leaving = false;
  /// It takes no requests of this gateway for so long.
  std::optional<common::duration> back_off;
  /// Something that was said cannot be used and was ignored.
  bool invalid = false;
};

/// Parses the values of the header in which a target says that it leaves.
/// @param values    one for each header of that name
/// @param statement receives the result
void ParseLeaving(std::span<const std::string_view> values,
                  target_statement* statement);

/// Parses the values of the header in which a target says how long it takes no
/// requests: seconds, with fractions. Of several, the longest applies.
/// @param values    one for each header of that name
/// @param statement receives the result
void ParseBackOff(std::span<const std::string_view> values,
                  target_statement* statement);

/// Follows what targets say of themselves in their responses.
///
/// That a target leaves is final for this start of it, whatever its entry says.
/// A back-off ends by time; it belongs to one start, too, and outlasts an entry
/// that expires and comes back.
class target_statements {
 public:
  target_statements(target_directory& targets, const common::clock& clock)
      : targets_(targets), clock_(clock) {}

  /// Applies what a response says of the target that sent it.
  /// @param request_id of the request, for the log
  void OnResponse(const target_entry& target, const target_statement& statement,
                  std::string_view request_id);

  /// @return whether any target may be backing off
  bool empty() const { return back_offs_.empty(); }
  /// @return how much longer the target takes no requests; 0: it takes them
  common::duration BackOffLeft(const target_entry& target) const;

 private:
  struct back_off {
    int64_t started_ms = 0;
    common::time_point until{};
  };

  void OnBackOff(const target_entry& target, common::duration length,
                 std::string_view request_id);

  target_directory& targets_;
  const common::clock& clock_;
  std::map<std::string, back_off, std::less<>> back_offs_;  ///< by target
};

}  // namespace wisteriadale::core
