#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadale::common {

/// @return 64-bit non-cryptographic hash, for placement and sharding
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/// @return SHA-256 as 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view data);

/// Compares in time that depends on the lengths only.
/// @return true when both are equal
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace wisteriadale::common
