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
    if (silent) {
      held = std::move(handler);
      return;
    }
    handler(std::vector<core::vm_entry>(1));
  }
  int fetches = 0;
  bool silent = false;
  fetch_handler held;
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

TEST(VmListPoller, AReadThatIsNeverAnsweredIsStartedAnew) {
  time.Advance(std::chrono::seconds(3));
  list.silent = true;
  time.Advance(std::chrono::seconds(5));
  const int before = list.fetches;
  list.silent = false;
  time.Advance(std::chrono::seconds(30));
  CHECK(list.fetches > before);
  CHECK(root.Healthy());
}

TEST(VmListPoller, AnAnswerOfAnEarlierRunIsDropped) {
  list.silent = true;
  time.Advance(std::chrono::seconds(2));
  const fetch_handler late = list.held;
  list.silent = false;
  time.Advance(std::chrono::seconds(40));
  const int before = lists;
  late(std::vector<core::vm_entry>(1));
  CHECK_EQUAL(before, lists);
}

TEST(VmListPoller, NothingIsReadAfterAStop) {
  bool stopped = false;
  root.Stop([&stopped] { stopped = true; });
  CHECK(stopped);
  const int before = list.fetches;
  time.Advance(std::chrono::seconds(60));
  CHECK_EQUAL(before, list.fetches);
}
