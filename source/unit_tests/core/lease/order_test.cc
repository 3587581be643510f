#include <CppUTest/TestHarness.h>

#include "core/agent/fenced_order_queue.h"
#include "core/lease/lease_keeper.h"
#include "core/lease/order_controller.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

/// A target that does not check fencing numbers.
class unfenced_target final : public core::order_target {
 public:
  explicit unfenced_target(common::timer_service& timers) : timers_(timers) {}

  void Apply(const core::order_message& order, order_handler handler) override {
    epochs.push_back(order.fencing_number);
    const common::result_code code = lose_answers
                                         ? common::result_code::kTargetLost
                                         : common::result_code::kOk;
    timers_.Schedule(
        service, [code, handler = std::move(handler)] { handler(code, ""); });
  }
  void SetDrained(std::string_view, bool now) override { drained = now; }

  std::vector<uint64_t> epochs;  ///< of the orders that reached it, in order
  bool drained = false;
  bool lose_answers = false;
  common::duration service = 10ms;

 private:
  common::timer_service& timers_;
};

constexpr char kLeaseKey[] = "leases/controller/a";

}  // namespace

TEST_GROUP(Orders) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  unfenced_target target{time};
  core::fenced_order_queue_options options;
  std::unique_ptr<core::fenced_order_queue> queue;

  void setup() override {
    options.lease_key = kLeaseKey;
    StartAgent();
    SetLease("r1", 1);
  }

  void StartAgent() {
    queue =
        std::make_unique<core::fenced_order_queue>(options, target, rows, time);
  }

  void SetLease(const std::string& holder, uint64_t epoch) {
    core::lease_record record;
    record.holder = holder;
    record.epoch = epoch;
    core::table_row& row = rows.rows[kLeaseKey];
    row = {kLeaseKey, core::EncodeLease(record), row.version + 1};
  }

  static core::order_message Order(const std::string& id, uint64_t epoch,
                                   const std::string& authority) {
    core::order_message order;
    order.order_id = id;
    order.fencing_number = epoch;
    order.kind = "load_model";
    order.argument = "drafts-2";
    order.authority = authority;
    return order;
  }

  common::result_code SendAndWait(const core::order_message& order) {
    common::result_code code = common::result_code::kInternal;
    queue->OnOrder(order, [&code](const core::order_answer_message& answer) {
      code = answer.code;
    });
    time.Advance(1s);
    return code;
  }
};

TEST(Orders, OrderOfAnExpiredHolderIsRefused) {
  CHECK(SendAndWait(Order("1", 1, "r1")) == common::result_code::kOk);
  SetLease("r2", 2);
  CHECK(SendAndWait(Order("2", 2, "r2")) == common::result_code::kOk);
  CHECK(SendAndWait(Order("3", 1, "r1")) == common::result_code::kStaleOrder);
  CHECK_EQUAL(2, target.epochs.size());
}

TEST(Orders, RestartedAgentReadsTheLeaseBeforeItAcceptsAnOrder) {
  CHECK(SendAndWait(Order("1", 1, "r1")) == common::result_code::kOk);
  SetLease("r2", 2);
  CHECK(SendAndWait(Order("2", 2, "r2")) == common::result_code::kOk);
  StartAgent();  // the restarted agent does not remember epoch 2
  CHECK(SendAndWait(Order("3", 1, "r1")) == common::result_code::kStaleOrder);
  CHECK_EQUAL(2, target.epochs.back());
}

TEST(Orders, RestartedAgentAcceptsNoOrderWhileThePlatformIsDown) {
  rows.down = true;
  CHECK(SendAndWait(Order("1", 1, "r1")) ==
        common::result_code::kPlatformUnavailable);
  CHECK_TRUE(target.epochs.empty());
  rows.down = false;
  CHECK(SendAndWait(Order("1", 1, "r1")) == common::result_code::kOk);
  // A known epoch needs no further read of the lease row.
  rows.down = true;
  CHECK(SendAndWait(Order("2", 1, "r1")) == common::result_code::kOk);
}

TEST(Orders, ResentOrderRunsOnce) {
  core::order_message order = Order("1", 1, "r1");
  target.service = 5s;
  int answers = 0;
  for (int i = 0; i < 3; ++i) {
    queue->OnOrder(order, [&answers](const core::order_answer_message& answer) {
      if (answer.code == common::result_code::kOk) ++answers;
    });
    time.Advance(1s);
  }
  time.Advance(10s);
  CHECK(SendAndWait(order) == common::result_code::kOk);
  CHECK_EQUAL(3, answers);
  CHECK_EQUAL(1, target.epochs.size());
}

TEST(Orders, QueuedOrderOfAnOldEpochNeverRunsAfterANewerOne) {
  target.service = 5s;
  std::vector<common::result_code> codes;
  const auto record_code = [&codes](const core::order_answer_message& answer) {
    codes.push_back(answer.code);
  };
  queue->OnOrder(Order("1", 1, "r1"), record_code);
  time.Advance(1s);
  queue->OnOrder(Order("2", 1, "r1"), record_code);
  SetLease("r2", 2);
  queue->OnOrder(Order("3", 2, "r2"), record_code);
  time.Advance(60s);
  CHECK_EQUAL(2, target.epochs.size());
  CHECK_EQUAL(1, target.epochs[0]);
  CHECK_EQUAL(2, target.epochs[1]);
  CHECK(codes[1] == common::result_code::kStaleOrder);
}

TEST(Orders, OrderOfANewerEpochWaitsAfterAnUnansweredOne) {
  target.lose_answers = true;
  CHECK(SendAndWait(Order("1", 1, "r1")) == common::result_code::kTargetLost);
  SetLease("r2", 2);
  queue->OnOrder(Order("2", 2, "r2"), [](const core::order_answer_message&) {});
  time.Advance(500ms);
  CHECK_EQUAL(1, target.epochs.size());
  time.Advance(3s);
  CHECK_EQUAL(2, target.epochs.size());
}

TEST(Orders, AuthorityIsCheckedForTargetsThatDoNotCheckIt) {
  CHECK(SendAndWait(Order("1", 1, "mallory")) ==
        common::result_code::kForbidden);
  CHECK(SendAndWait(Order("2", 7, "r1")) == common::result_code::kForbidden);
  CHECK(SendAndWait(Order("3", 0, "r1")) == common::result_code::kBadRequest);
  CHECK_TRUE(target.epochs.empty());
  options.target_checks_authority = true;
  StartAgent();
  CHECK(SendAndWait(Order("4", 1, "mallory")) == common::result_code::kOk);
}

TEST(Orders, DrainWorksWhileThePlatformIsDown) {
  rows.down = true;
  core::order_message order = Order("1", 0, "operator");
  order.kind = "drain";
  CHECK(SendAndWait(order) == common::result_code::kOk);
  CHECK_TRUE(target.drained);
  order.order_id = "2";
  order.kind = "undrain";
  CHECK(SendAndWait(order) == common::result_code::kOk);
  CHECK_FALSE(target.drained);
}

namespace {

/// Connects one controller with one agent.
class loopback_network final : public core::order_network {
 public:
  lease_status LeaseFor(std::string_view) override { return lease; }
  bool SendOrder(std::string_view, const core::order_message& order) override {
    sent.push_back(order);
    if (orders_to_lose > 0) {
      --orders_to_lose;
      return true;
    }
    queue->OnOrder(order, [this](const core::order_answer_message& answer) {
      controller->OnAnswer(answer);
    });
    return true;
  }
  bool ForwardOrder(std::string_view router,
                    const core::order_message&) override {
    forwarded_to = router;
    return true;
  }

  lease_status lease;
  core::fenced_order_queue* queue = nullptr;
  core::order_controller* controller = nullptr;
  std::vector<core::order_message> sent;
  std::string forwarded_to;
  int orders_to_lose = 0;
};

}  // namespace

TEST(Orders, ControllerResendsWithTheSameIdUntilAnswered) {
  loopback_network network;
  core::order_controller controller({"r1"}, network, time, time, random);
  network.queue = queue.get();
  network.controller = &controller;
  network.lease = {true, 1, "r1"};
  network.orders_to_lose = 3;
  core::order_state ended;
  controller.Submit(
      {"", "target-1", "load_model", "drafts-2", "kari"},
      [&ended](const core::order_state& state) { ended = state; });
  time.Advance(10s);
  CHECK_TRUE(ended.ended);
  CHECK(ended.code == common::result_code::kOk);
  CHECK_EQUAL(4, network.sent.size());
  CHECK_EQUAL(network.sent[0].order_id, network.sent[3].order_id);
  CHECK_EQUAL(1, target.epochs.size());
}

TEST(Orders, ControllerWithoutTheLeaseForwardsAndSendsNothing) {
  loopback_network network;
  core::order_controller controller({"r1"}, network, time, time, random);
  network.queue = queue.get();
  network.controller = &controller;
  network.lease = {false, 0, "r2"};
  core::order_state ended;
  controller.Submit(
      {"", "target-1", "load_model", "drafts-2", "kari"},
      [&ended](const core::order_state& state) { ended = state; });
  time.Advance(200s);
  CHECK_TRUE(network.sent.empty());
  CHECK_EQUAL(std::string("r2"), network.forwarded_to);
  CHECK(ended.code == common::result_code::kDeadlineExceeded);
}
