#pragma once

#include <cstdint>
#include <memory>
#include <optional>

namespace wisteriadale::scenario {

/// A range of loopback ports that no other runner uses at the same time. A
/// socket bound to the first port of the block reserves the others.
class port_block {
 public:
  /// Reserves a block.
  /// @return the block, or nothing with LastError set
  static std::optional<std::unique_ptr<port_block>> Reserve();
  ~port_block();
  port_block(const port_block&) = delete;
  port_block& operator=(const port_block&) = delete;

  /// @return a port that nothing is bound to; 0 when the block is exhausted
  uint16_t Allocate();

 private:
  port_block(int reservation_fd, uint16_t first)
      : reservation_fd_(reservation_fd), next_(first) {}

  int reservation_fd_;
  uint16_t next_;
  uint16_t remaining_ = 0;
};

}  // namespace wisteriadale::scenario
