#include "net/receive_buffers.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include "common/metrics.h"
#include "net/socket_options.h"

namespace wisteriadale::net {
namespace {

void SetReceiveBuffer(int fd, size_t bytes) {
  // The kernel doubles the value, for its own data beside that of the peer.
  SetSocketOption(fd, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes / 2));
}

}  // namespace

void receive_buffers::SetPolicy(common::receive_buffer_policy& policy) {
  policy_ = &policy;
  for (const int fd : listeners_) SetListenerBuffer(fd);
}

void receive_buffers::AddListener(int fd) {
  listeners_.insert(fd);
  if (policy_ != nullptr) SetListenerBuffer(fd);
}

void receive_buffers::SetListenerBuffer(int fd) const {
  SetReceiveBuffer(fd, policy_->BytesBeforeAccept());
}

void receive_buffers::Add(int fd) {
  if (policy_ == nullptr) return;
  const size_t bytes = policy_->Reserve();
  connections_.insert_or_assign(fd, bytes);
  SetReceiveBuffer(fd, bytes);
}

void receive_buffers::Remove(int fd) {
  const auto found = connections_.find(fd);
  if (found == connections_.end()) return;
  policy_->Release(found->second);
  connections_.erase(found);
}

void receive_buffers::SetMetrics() const {
  uint64_t reserved = 0;
  uint64_t unread = 0;
  for (const auto& [fd, bytes] : connections_) {
    int received = 0;
    reserved += bytes;
    if (ioctl(fd, FIONREAD, &received) == 0) {
      unread += static_cast<uint64_t>(received);
    }
  }
  common::Metrics().Set("wisteria_receive_buffer_bytes",
                        static_cast<double>(reserved));
  common::Metrics().Set("wisteria_unread_bytes", static_cast<double>(unread));
}

}  // namespace wisteriadale::net
