#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// The platform's object store. Objects are named by their digest and never
/// changed. Handlers run on the loop, never inside the call, exactly once.
class object_store {
 public:
  virtual ~object_store() = default;
  /// @param handler takes the object, or nothing when it cannot be had now
  virtual void Get(std::string_view name,
                   std::function<void(std::optional<std::string>)> handler) = 0;
  /// @param handler takes whether the object is known to be stored
  virtual void Put(std::string_view name, std::string_view data,
                   std::function<void(bool)> handler) = 0;
};

}  // namespace wisteriadale::core
