#pragma once

#include <cstdint>
#include <memory>
#include <optional>

namespace wisteriadale::scenario {

/// A range of loopback ports that no other runner uses at the same time. The
/// first port of the block is held open as the claim on the others.
class port_block {
 public:
  /// @return a block, or nothing with LastReason set
  static std::optional<std::unique_ptr<port_block>> Claim();
  ~port_block();
  port_block(const port_block&) = delete;
  port_block& operator=(const port_block&) = delete;

  /// @return a port that nothing listens on; 0 when the block is used up
  uint16_t Take();

 private:
  port_block(int claim, uint16_t first) : claim_(claim), next_(first) {}

  int claim_;
  uint16_t next_;
  uint16_t left_ = 0;
};

}  // namespace wisteriadale::scenario
