#pragma once

#include <memory>
#include <vector>

#include "common/byte_account.h"
#include "common/clock.h"
#include "net/tcp_stream.h"

namespace wisteriadale::net {

/// When the other end of a connection last took bytes, as far as repeated looks
/// at what is pending tell.
class taking_watch {
 public:
  /// @param pending bytes that the other end has not taken
  /// @return when it took some; now if nothing is pending
  common::time_point Update(size_t pending, common::time_point now) {
    if (pending == 0 || pending < pending_ || pending_ == 0) taken_at_ = now;
    pending_ = pending;
    return taken_at_;
  }

 private:
  size_t pending_ = 0;
  common::time_point taken_at_{};
};

/// Responses on connections that this side has closed and whose callers have
/// not read them yet.
class held_responses {
 public:
  held_responses();
  ~held_responses();
  held_responses(const held_responses&) = delete;
  held_responses& operator=(const held_responses&) = delete;

  /// @param account may be null
  void SetAccount(common::byte_account* account) { account_ = account; }
  /// Counts what a connection that is about to be closed still owes.
  void Add(const tcp_stream& stream, common::time_point now);
  /// Looks again at what was taken, and forgets what is delivered.
  void Check(common::time_point now);
  std::vector<tcp_stream::observer> Streams() const;

 private:
  class response;

  common::byte_account* account_ = nullptr;
  std::vector<std::unique_ptr<response>> responses_;
};

}  // namespace wisteriadale::net
