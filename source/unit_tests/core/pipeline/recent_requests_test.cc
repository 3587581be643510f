#include "core/pipeline/recent_requests.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(RecentRequests) {
  core::recent_requests recent{{.max_requests = 3, .max_bytes = 100}};
};

TEST(RecentRequests, OnlyTheOwnOrganisationFindsARequest) {
  recent.OnAdmitted("r1", "parks");
  CHECK(recent.Find("r1", "parks") != nullptr);
  CHECK(recent.Find("r1", "villages") == nullptr);
  CHECK(recent.Find("r2", "parks") == nullptr);
}

TEST(RecentRequests, AnEndedRequestHasItsAnswer) {
  recent.OnAdmitted("r1", "parks");
  CHECK(!recent.Find("r1", "parks")->ended);
  recent.OnEnded("r1", 200, "{}");
  CHECK(recent.Find("r1", "parks")->ended);
  STRCMP_EQUAL("{}", recent.Find("r1", "parks")->answer.c_str());
}

TEST(RecentRequests, CountAndBytesAreBoundedOldestFirst) {
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r" + std::to_string(i);
    recent.OnAdmitted(id, "parks");
    recent.OnEnded(id, 200, std::string(40, 'x'));
  }
  CHECK(recent.bytes() <= 100);
  CHECK(recent.Find("r0", "parks") == nullptr);
  CHECK(recent.Find("r4", "parks") != nullptr);
}
