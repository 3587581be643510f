#pragma once

#include <memory>

#include "net/event_loop.h"

struct lws;

namespace wisteriadale::net {

/// Receives the events that libwebsockets reports for one descriptor.
class pollable {
 public:
  virtual ~pollable() = default;
  /// @return false to close the descriptor
  virtual bool OnReadable() = 0;
  virtual bool OnWritable() = 0;
  virtual void OnClosed() = 0;
};

/// Registers a descriptor with the loop, and keeps its object alive while
/// libwebsockets refers to it.
/// @return the connection of libwebsockets; null if it cannot be registered
lws* AdoptDescriptor(event_loop& loop, int fd,
                     const std::shared_ptr<pollable>& object);

/// Closes a descriptor from the loop.
void CloseAsync(lws* wsi);

}  // namespace wisteriadale::net
