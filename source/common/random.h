#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace wisteriadale::common {

/// Source of random numbers, injected so that tests can fix the seed.
class random_source {
 public:
  virtual ~random_source() = default;
  /// @return 64 uniform bits
  virtual uint64_t Next() = 0;

  /// @param bound exclusive upper bound; 0 yields 0
  uint64_t Below(uint64_t bound);
  /// @return uniform in [0, 1)
  double Uniform();
  /// @return 128 random bits as 32 lower-case hexadecimal digits
  std::string HexId();
};

/// Mersenne Twister, seeded by the caller.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// @return a seed from the operating system
uint64_t SystemSeed();

}  // namespace wisteriadale::common
