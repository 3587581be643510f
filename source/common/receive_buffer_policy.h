#pragma once

#include <cstddef>

namespace wisteriadale::common {

/// Decides how much each connection of a process may receive before it is read.
class receive_buffer_policy {
 public:
  virtual ~receive_buffer_policy() = default;
  /// @return bytes for a connection that is opened now
  virtual size_t Reserve() = 0;
  /// Called when a connection has ended.
  /// @param bytes that Reserve returned for it
  virtual void Release(size_t bytes) = 0;
  /// @return bytes for each connection that has not been accepted yet
  virtual size_t BytesBeforeAccept() const = 0;
};

}  // namespace wisteriadale::common
