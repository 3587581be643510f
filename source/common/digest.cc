#include "common/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace wisteriadale::common {

uint64_t Hash64(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  constexpr char kDigits[] = "0123456789abcdef";
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  std::string hex;
  hex.reserve(size_t{2} * SHA256_DIGEST_LENGTH);
  for (unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace wisteriadale::common
