#include "common/process_usage.h"

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "common/metrics.h"

// Included last: its macros redefine operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(ProcessUsage){};

TEST(ProcessUsage, OpenDescriptorsAreCounted) {
  const common::process_usage before = common::ReadProcessUsage();
  CHECK(before.open_descriptors.has_value());
  CHECK(before.resident_bytes.value_or(0) > 0);
  CHECK(before.descriptor_limit.value_or(0) > 0);
  const int opened = open("/dev/null", O_RDONLY | O_CLOEXEC);
  const common::process_usage after = common::ReadProcessUsage();
  close(opened);
  LONGS_EQUAL(*before.open_descriptors + 1, after.open_descriptors.value_or(0));
}

TEST(ProcessUsage, MissingProcFilesAreLeftOut) {
  const common::process_usage usage = common::ReadProcessUsage("/nowhere");
  CHECK(!usage.resident_bytes.has_value());
  CHECK(!usage.open_descriptors.has_value());
  common::usage_growth growth;
  CHECK(!growth.Update(usage));
}

TEST(ProcessUsage, LinesStayFewWhileMemoryGrowsByteByByte) {
  common::usage_growth growth;
  common::process_usage usage;
  int lines = 0;
  constexpr int64_t kMegabyte = int64_t{1} << 20;
  for (int64_t size = 1; size <= 2048; ++size) {
    usage.resident_bytes = size * kMegabyte;
    lines += growth.Update(usage) ? 1 : 0;
  }
  CHECK(lines >= 10);
  CHECK(lines <= 14);
}

TEST(ProcessUsage, UsageThatFallsAndReturnsIsReportedOnce) {
  common::usage_growth growth;
  common::process_usage usage;
  int lines = 0;
  for (int i = 0; i < 20; ++i) {
    usage.connections = i % 2 == 0 ? 400 : 5;
    lines += growth.Update(usage) ? 1 : 0;
  }
  LONGS_EQUAL(1, lines);
}
