#include "core/admission/distributed_quota.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(DistributedQuota) {
  static constexpr double kQuota = 100;

  fakes::virtual_time time;
  core::distributed_quota first{time, "r1"};
  core::distributed_quota second{time, "r2"};

  void setup() override {
    time.Advance(std::chrono::hours(1));
    first.SetRouters(2);
    second.SetRouters(2);
  }

  /// Sends requests to both routers at the given rates per second.
  /// @param reports whether the routers exchange reports
  /// @return requests granted per second
  double Run(int first_rate, int second_rate, int seconds, bool reports) {
    int granted = 0;
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      time.Advance(milliseconds(1));
      granted += Offer(first, first_rate, ms);
      granted += Offer(second, second_rate, ms);
      if (reports && ms % 1000 == 0) {
        second.OnReport("r1", first.Report());
        first.OnReport("r2", second.Report());
      }
    }
    return static_cast<double>(granted) / seconds;
  }

  static int Offer(core::distributed_quota & router, int rate, int ms) {
    const int due = (ms + 1) * rate / 1000 - ms * rate / 1000;
    int granted = 0;
    for (int i = 0; i < due; ++i) {
      granted += router.Acquire("parks", kQuota).count() == 0 ? 1 : 0;
    }
    return granted;
  }
};

TEST(DistributedQuota, LimitsTenTimesTheQuotaOverAllRouters) {
  Run(500, 500, 5, true);
  const double granted = Run(500, 500, 20, true);
  CHECK(granted > 0.9 * kQuota);
  CHECK(granted < 1.1 * kQuota);
}

TEST(DistributedQuota, SharesAreProportionalToDemand) {
  Run(900, 100, 10, true);
  CHECK(std::abs(first.Share("parks") - 0.9) < 0.05);
  const double granted = Run(900, 100, 20, true);
  CHECK(granted > 0.9 * kQuota);
  CHECK(granted < 1.1 * kQuota);
}

TEST(DistributedQuota, WithoutReportsSharesAreEqual) {
  CHECK(Run(500, 500, 20, false) < 1.15 * kQuota);
}

TEST(DistributedQuota, ReportsOfAGoneRouterExpire) {
  Run(900, 100, 10, true);
  time.Advance(std::chrono::seconds(11));
  first.SetRouters(1);
  CHECK_EQUAL(1.0, first.Share("parks"));
}

TEST(DistributedQuota, RefusalReturnsTheTimeUntilATokenIsAvailable) {
  Run(500, 500, 5, true);
  const common::duration wait = first.Acquire("parks", kQuota);
  time.Advance(wait);
  CHECK(wait < milliseconds(100));
  CHECK_EQUAL(0, first.Acquire("parks", kQuota).count());
}

TEST(DistributedQuota, BucketsOfIdleOrganisationsAreDropped) {
  Run(500, 500, 2, true);
  time.Advance(std::chrono::seconds(60));
  for (int i = 0; i < 40; ++i) {
    first.Report();
    time.Advance(std::chrono::seconds(1));
  }
  CHECK(first.Report().empty());
}
