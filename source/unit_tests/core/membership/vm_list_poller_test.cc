#include "core/membership/vm_list_poller.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

using fetch_handler =
    std::function<void(std::optional<std::vector<core::vm_entry>>)>;

class fake_vm_list final : public core::vm_list {
 public:
  void Fetch(fetch_handler handler) override {
    ++fetches;
    if (stalled) {
      pending_handler = std::move(handler);
      return;
    }
    handler(std::vector<core::vm_entry>(1));
  }
  int fetches = 0;
  bool stalled = false;
  fetch_handler pending_handler;
};

}  // namespace

TEST_GROUP(VmListPoller) {
  fakes::virtual_time time;
  fake_vm_list list;
  int lists = 0;
  core::vm_list_poller poller{
      core::vm_list_poller_options(), list, time, time,
      [this](const std::vector<core::vm_entry>&) { ++lists; }};
  common::supervisor root{"root", time, time, {}};

  void setup() override {
    root.Add(poller);
    CHECK(root.Start());
  }
};

TEST(VmListPoller, StalledReadIsRestarted) {
  time.Advance(std::chrono::seconds(3));
  list.stalled = true;
  time.Advance(std::chrono::seconds(5));
  const int before = list.fetches;
  list.stalled = false;
  time.Advance(std::chrono::seconds(30));
  CHECK(list.fetches > before);
  CHECK(root.Healthy());
}

TEST(VmListPoller, ResultOfAnEarlierRunIsDropped) {
  list.stalled = true;
  time.Advance(std::chrono::seconds(2));
  const fetch_handler late_handler = list.pending_handler;
  list.stalled = false;
  time.Advance(std::chrono::seconds(40));
  const int before = lists;
  late_handler(std::vector<core::vm_entry>(1));
  CHECK_EQUAL(before, lists);
}

TEST(VmListPoller, StopEndsPolling) {
  bool stopped = false;
  root.Stop([&stopped] { stopped = true; });
  CHECK(stopped);
  const int before = list.fetches;
  time.Advance(std::chrono::seconds(60));
  CHECK_EQUAL(before, list.fetches);
}
