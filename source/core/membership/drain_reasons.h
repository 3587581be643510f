#pragma once

#include <set>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// The reasons why an agent accepts no new work. It accepts work again only
/// after every reason is cleared, so that the end of one drain does not end
/// another.
class drain_reasons {
 public:
  /// Adds or removes a reason.
  /// @param holds whether the reason applies from now on
  /// @return whether this call began or ended the drain
  bool Set(std::string_view reason, bool holds) {
    const bool before = !reasons_.empty();
    if (holds) {
      reasons_.emplace(reason);
    } else {
      const auto found = reasons_.find(reason);
      if (found != reasons_.end()) reasons_.erase(found);
    }
    return before != !reasons_.empty();
  }
  bool draining() const { return !reasons_.empty(); }

 private:
  std::set<std::string, std::less<>> reasons_;
};

}  // namespace wisteriadale::core
