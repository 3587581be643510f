#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

#include "common/receive_buffer_policy.h"

namespace wisteriadale::net {

/// Sets the receive buffers of the TCP connections of a process, so that what
/// peers send faster than it is read stays within a bound. Without a policy the
/// buffers are those of the system.
class receive_buffers {
 public:
  /// Applies to listeners, and to connections that are added from now on.
  /// @param policy has to outlive this object
  void SetPolicy(common::receive_buffer_policy& policy);
  /// @param fd a listening socket
  void AddListener(int fd);
  void RemoveListener(int fd) { listeners_.erase(fd); }
  /// @param fd a connection that was accepted, or that is about to be opened
  void Add(int fd);
  /// @param fd one that may have been added
  void Remove(int fd);

  /// Sets the sum of the buffers, and what lies in them, as gauges. Asks the
  /// kernel, for each connection.
  void SetMetrics() const;

 private:
  /// Sets the buffer that connections have until they are accepted.
  void SetListenerBuffer(int fd) const;

  common::receive_buffer_policy* policy_ = nullptr;
  std::unordered_set<int> listeners_;
  std::unordered_map<int, size_t> connections_;  ///< buffers in bytes
};

}  // namespace wisteriadale::net
