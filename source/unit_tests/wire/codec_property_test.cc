#include <CppUTest/TestHarness.h>
#include <sys/resource.h>

#include "common/random.h"
#include "wire/codec.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr uint64_t kSeed = 20261204;

std::string RandomText(common::random_source& random, size_t max_size) {
  std::string text;
  const size_t size = random.Below(max_size + 1);
  for (size_t i = 0; i < size; ++i) {
    text.push_back(static_cast<char>(random.Below(256)));
  }
  return text;
}

core::execute_message RandomExecute(common::random_source& random) {
  core::execute_message execute;
  execute.attempt_id = random.HexId();
  execute.organisation = RandomText(random, 12);
  execute.input = RandomText(random, 300);
  execute.stream_prefix = RandomText(random, 40);
  execute.expected_incarnation = random.Next();
  execute.remaining = common::milliseconds(random.Below(100000));
  execute.exclusive = random.Below(2) == 1;
  return execute;
}

core::outcome_message RandomOutcome(common::random_source& random) {
  core::outcome_message outcome;
  outcome.attempt_id = random.HexId();
  outcome.code = common::result_code::kTargetFailed;
  outcome.result = RandomText(random, 200);
  for (uint64_t i = random.Below(4); i > 0; --i) {
    outcome.suspect_digests.push_back(RandomText(random, 64));
  }
  outcome.load.in_flight = static_cast<uint32_t>(random.Below(100));
  return outcome;
}

std::string RandomFrame(common::random_source& random) {
  if (random.Below(2) == 0) return wire::Encode(RandomExecute(random));
  return wire::Encode(RandomOutcome(random));
}

/// Overwrites, truncates, duplicates or inserts bytes, up to four times.
void Mutate(common::random_source& random, std::string* frame) {
  for (uint64_t i = 1 + random.Below(4); i > 0 && !frame->empty(); --i) {
    const size_t at = random.Below(frame->size());
    switch (random.Below(4)) {
      case 0:
        (*frame)[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        frame->resize(at);
        break;
      case 2:
        frame->append(frame->substr(at));
        break;
      default:
        frame->insert(at, RandomText(random, 8));
        break;
    }
  }
}

int64_t PeakMemoryKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

}  // namespace

TEST_GROUP(CodecProperties){};

TEST(CodecProperties, ExecuteMessagesSurviveRoundTrip) {
  common::seeded_random random(kSeed);
  for (int i = 0; i < 2000; ++i) {
    const core::execute_message sent = RandomExecute(random);
    const std::optional<core::message> decoded =
        wire::Decode(wire::Encode(sent));
    CHECK(decoded.has_value());
    const core::execute_message& received =
        std::get<core::execute_message>(*decoded);
    CHECK(received.attempt_id == sent.attempt_id);
    CHECK(received.input == sent.input);
    CHECK(received.organisation == sent.organisation);
    CHECK(received.stream_prefix == sent.stream_prefix);
    CHECK(received.expected_incarnation == sent.expected_incarnation);
    CHECK(received.remaining == sent.remaining);
    CHECK(received.exclusive == sent.exclusive);
  }
}

TEST(CodecProperties, MutatedFramesNeitherCrashNorAllocateMuchMemory) {
  common::seeded_random random(kSeed);
  // A frame of some hundred bytes may declare sizes of gigabytes.
  constexpr int64_t kMaxGrowthKilobytes = int64_t{64} * 1024;
  const int64_t before = PeakMemoryKilobytes();
  int rejected = 0;
  for (int i = 0; i < 50000; ++i) {
    std::string frame = RandomFrame(random);
    Mutate(random, &frame);
    if (!wire::Decode(frame).has_value()) ++rejected;
  }
  CHECK(rejected > 0);
  CHECK(PeakMemoryKilobytes() - before < kMaxGrowthKilobytes);
}
