#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriadale::core {

/// The platform's object store. Objects are immutable and named by their
/// digest. Each handler is called exactly once, from the event loop and never
/// from within the call.
class object_store {
 public:
  virtual ~object_store() = default;
  /// @param handler receives the object, or nothing if it is not available
  virtual void Get(std::string_view name,
                   std::function<void(std::optional<std::string>)> handler) = 0;
  /// @param handler receives true if the object is known to be stored
  virtual void Put(std::string_view name, std::string_view data,
                   std::function<void(bool)> handler) = 0;
};

}  // namespace wisteriadale::core
