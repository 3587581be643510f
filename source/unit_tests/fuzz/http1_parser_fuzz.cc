#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "unit_tests/fuzz/parser_check.h"

/// @param data the kind of the messages ('q': requests, else responses), the
///             seed of the sizes of the arrivals, and the messages
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 2) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const std::string failure = wisteriadale::fuzz::CheckParser(
      text[0] == 'q', text.substr(2), 1 + uint64_t{data[1]});
  if (failure.empty()) return 0;
  std::fprintf(stderr, "%s\n", failure.c_str());
  std::abort();
}
