#include <CppUTest/TestHarness.h>

#include "core/overload/memory_account.h"
#include "net/http1_server.h"
#include "unit_tests/net/loopback.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

/// What is held for requests of other callers, which are in progress.
struct kept_holder final : public common::byte_holder {
  void GiveWay() override {}
};

}  // namespace

// A request in progress never gave way: those of callers that had not read the
// response before kept large requests of others out until their timeout.
TEST_GROUP(Http1ServerUnreadResponse) {
  static constexpr size_t kBudget = size_t{800} * 1024;
  static constexpr size_t kBodyBytes = size_t{300} * 1024;
  static constexpr size_t kFirstBytes = size_t{64} * 1024;
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::unique_ptr<core::memory_account> account;
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;
  kept_holder others;
  std::shared_ptr<net::http1_exchange> second;
  bool ended = false;

  void setup() override {
    core::memory_account_options options;
    options.budget = kBudget;
    options.body_stall = std::chrono::milliseconds(100);
    options.response_stall = std::chrono::milliseconds(400);
    account = std::make_unique<core::memory_account>(options, clock);
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, {},
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          if (exchange->head().method == "GET") {
            exchange->Send(200, "OK", {}, std::string(kFirstBytes, 'x'));
            return;
          }
          second = exchange;
          second->SetDisconnectHandler([this] { ended = true; });
        });
    CHECK(server != nullptr);
    server->SetAccount(*account);
    CHECK(caller.Connect(server->port()));
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(kBodyBytes) + "\r\n\r\n";
    const std::string request = head + std::string(kBodyBytes, 'y');
    size_t sent = 0;
    CHECK(fakes::RunUntil(**loop, std::chrono::seconds(5), [&] {
      sent += caller.SendSome(std::string_view(request).substr(sent));
      return second != nullptr;
    }));
    common::holding held;
    held.bytes = kBudget / 2;
    held.what = common::held_for::kRequest;
    account->Set(others, held);
    CHECK(account->Exceeded());
  }
  void teardown() override {
    server.reset();
    account.reset();
  }
  bool Ends() {
    return fakes::RunUntil(**loop, std::chrono::seconds(2),
                           [this] { return ended; });
  }
};

TEST(Http1ServerUnreadResponse, TheNextResponseGivesWay) {
  second->SetBuffered(1000);
  CHECK(Ends());
  LONGS_EQUAL(kBudget / 2, account->held());
}

TEST(Http1ServerUnreadResponse, ARequestWithoutAResponseIsKept) {
  CHECK_FALSE(Ends());
}

TEST(Http1ServerUnreadResponse, ACallerThatReadsIsKept) {
  second->SetBuffered(1000);
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [this] { return caller.Read().size() > kFirstBytes; }));
  CHECK_FALSE(Ends());
}
