#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace wisteriadale::core {

/// The table row `leases/{name}`. The epoch increases with each new holder and
/// is the fencing number of the orders that the holder sends.
struct lease_record {
  std::string holder;  ///< empty after a release
  std::string token;   ///< unique for each write
  uint64_t epoch = 0;
  common::duration term{0};
};

/// @return the row's value, as JSON
std::string EncodeLease(const lease_record& record);
/// @return the record, or nothing when the text is not a JSON object
std::optional<lease_record> DecodeLease(std::string_view text);

/// @return the table key of the controller lease of a data centre
std::string ControllerLeaseKey(std::string_view data_centre);

}  // namespace wisteriadale::core
