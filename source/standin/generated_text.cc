#include <array>

#include "common/digest.h"
#include "common/random.h"
#include "standin/target_service.h"

namespace wisteriadale::standin {
namespace {

constexpr std::array<std::string_view, 16> kWords = {
    "the ",   "spiral ", "frame ", "needs ",  "four ", "rings ",
    "of ",    "steel ",  "rod ",   "welded ", "at ",   "each ",
    "joint ", "before ", "zinc ",  "coating "};
constexpr size_t kInputDigestLength = 16;

}  // namespace

std::string GeneratedText(std::string_view input, uint32_t tokens) {
  common::seeded_random random(common::Hash64(input));
  std::string text;
  for (uint32_t i = 0; i < tokens; ++i) {
    text.append(kWords[random.Below(kWords.size())]);
  }
  return text;
}

std::string InputDigest(std::string_view input) {
  return common::Sha256Hex(input).substr(0, kInputDigestLength);
}

}  // namespace wisteriadale::standin
