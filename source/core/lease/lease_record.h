#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// The row `leases/{name}`. The epoch rises with each new holder and is the
/// fencing number of what the holder orders.
struct lease_record {
  std::string holder;  ///< empty once released
  std::string token;   ///< unique to one write
  uint64_t epoch = 0;
  common::duration term{0};
};

std::string EncodeLease(const lease_record& record);
std::optional<lease_record> DecodeLease(std::string_view text);

/// @return the table key of the controller lease of a data centre
std::string ControllerLeaseKey(std::string_view data_centre);

}  // namespace wisteriadale::core
