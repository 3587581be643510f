#include "common/random.h"

namespace wisteriadale::common {

uint64_t random_source::Below(uint64_t bound) {
  return bound == 0 ? 0 : Next() % bound;
}

double random_source::Uniform() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kScale;
}

std::string random_source::HexId() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  id.reserve(32);
  for (int word = 0; word < 2; ++word) {
    uint64_t bits = Next();
    for (int nibble = 0; nibble < 16; ++nibble) {
      id.push_back(kDigits[bits & 0xf]);
      bits >>= 4;
    }
  }
  return id;
}

uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace wisteriadale::common
