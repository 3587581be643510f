#include "common/supervisor.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

class fake_component final : public common::component {
 public:
  fake_component(std::string name, std::string* calls)
      : name_(std::move(name)), calls_(calls) {}
  std::string_view name() const override { return name_; }
  bool Start() override {
    calls_->append("+" + name_);
    healthy = starts_healthy;
    return starts;
  }
  void Stop(std::function<void()> on_stopped) override {
    calls_->append("-" + name_);
    on_stopped();
  }
  bool Healthy() const override { return healthy; }

  bool starts = true;
  bool starts_healthy = true;
  bool healthy = true;

 private:
  std::string name_;
  std::string* calls_;
};

}  // namespace

TEST_GROUP(Supervisor) {
  std::string calls;
  fakes::virtual_time time;
  fake_component first{"a", &calls};
  fake_component second{"b", &calls};
  common::supervisor root{"root", time, time, {}};

  void setup() override {
    root.Add(first);
    root.Add(second);
  }
};

TEST(Supervisor, ChildrenStartInOrderAndStopInReverse) {
  CHECK(root.Start());
  bool stopped = false;
  root.Stop([&stopped] { stopped = true; });
  CHECK(stopped);
  STRCMP_EQUAL("+a+b-b-a", calls.c_str());
}

TEST(Supervisor, OnlyTheUnhealthyChildIsRestarted) {
  CHECK(root.Start());
  first.healthy = false;
  time.Advance(std::chrono::seconds(2));
  STRCMP_EQUAL("+a+b-a+a", calls.c_str());
  CHECK(root.Healthy());
}

TEST(Supervisor, TooManyRestartsMakeTheSupervisorUnhealthy) {
  CHECK(root.Start());
  first.starts_healthy = false;
  first.healthy = false;
  time.Advance(std::chrono::seconds(60));
  CHECK(!root.Healthy());
}

TEST(Supervisor, AFailedStartIsRetried) {
  CHECK(root.Start());
  first.healthy = false;
  first.starts = false;
  time.Advance(std::chrono::milliseconds(1200));
  first.starts = true;
  time.Advance(std::chrono::seconds(2));
  CHECK(root.Healthy());
  CHECK(first.Healthy());
}

TEST(Supervisor, NothingIsRestartedDuringAStop) {
  CHECK(root.Start());
  first.healthy = false;
  time.Advance(
      std::chrono::milliseconds(1050));  // stopped, the new start is pending
  root.Stop([] {});
  const size_t length = calls.size();
  time.Advance(std::chrono::seconds(20));
  CHECK_EQUAL(length, calls.size());
}
