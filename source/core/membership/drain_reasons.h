#pragma once

#include <set>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// Why an agent takes no new work. It takes work again only once every reason
/// is gone, so that the end of one drain does not end another.
class drain_reasons {
 public:
  /// @return whether draining began or ended by this
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
