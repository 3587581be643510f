#include "core/overload/receive_room.h"

#include <algorithm>

#include "core/overload/memory_account.h"

namespace wisteriadale::core {
namespace {

// Part of the memory beside the process's own that sockets may hold unread.
constexpr double kUnreadShare = 0.2;
// Parts of the room: for connections that are not accepted yet, for the least
// that each connection gets, and for more than that.
constexpr double kBacklogShare = 0.2;
constexpr double kLeastShare = 0.4;
constexpr double kFurtherShare = 0.4;
// Part of what is left that a new connection gets, as a divisor.
constexpr uint64_t kDivisor = 256;

uint64_t PartOf(double share, const receive_room_options& options) {
  return static_cast<uint64_t>(share * static_cast<double>(options.room));
}

}  // namespace

receive_room_options MakeReceiveRoomOptions(double memory_mb) {
  receive_room_options options;
  options.room = static_cast<uint64_t>(
      kUnreadShare * static_cast<double>(BytesBesideOwn(memory_mb)));
  return options;
}

size_t MaxSockets(const receive_room_options& options) {
  return PartOf(kLeastShare, options) / options.min_bytes;
}

size_t receive_room::Reserve() {
  const uint64_t further = PartOf(kFurtherShare, options_);
  const uint64_t left = further > reserved_ ? further - reserved_ : 0;
  const size_t bytes = std::clamp<size_t>(left / kDivisor, options_.min_bytes,
                                          options_.max_bytes);
  reserved_ += bytes;
  return bytes;
}

size_t receive_room::BytesBeforeAccept() const {
  return std::clamp<size_t>(PartOf(kBacklogShare, options_) / options_.backlog,
                            options_.min_bytes, options_.max_bytes);
}

}  // namespace wisteriadale::core
