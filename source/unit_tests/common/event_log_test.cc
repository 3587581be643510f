#include "common/event_log.h"

#include <CppUTest/TestHarness.h>

#include "common/log.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(EventLog){};

TEST(EventLog, LinesOverTheRateAreCountedAndReportedOnce) {
  common::log_rate_limiter rate(5);
  common::time_point now{std::chrono::seconds(10)};
  int admitted = 0;
  for (int i = 0; i < 20; ++i) admitted += rate.Admit(now) ? 1 : 0;
  CHECK_EQUAL(5, admitted);
  CHECK_EQUAL(15, rate.TakeSuppressed());
  CHECK_EQUAL(0, rate.TakeSuppressed());
  now += std::chrono::seconds(1);
  CHECK(rate.Admit(now));
}

TEST(EventLog, UntrustedTextStaysOnOneLine) {
  std::string line;
  common::AppendJsonString("a\"b\\c\nd\x01\xff", &line);
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.starts_with("\"a\\\"b\\\\c\\n"));
}
