#include "net/receive_buffers.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

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

uint64_t receive_buffers::UnreadBytes() const {
  uint64_t total = 0;
  for (const auto& [fd, bytes] : connections_) {
    int unread = 0;
    if (ioctl(fd, FIONREAD, &unread) == 0) {
      total += static_cast<uint64_t>(unread);
    }
  }
  return total;
}

uint64_t receive_buffers::ReservedBytes() const {
  uint64_t total = 0;
  for (const auto& [fd, bytes] : connections_) total += bytes;
  return total;
}

}  // namespace wisteriadale::net
