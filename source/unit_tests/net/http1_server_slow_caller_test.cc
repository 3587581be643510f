#include <algorithm>

#include "common/metrics.h"
#include "core/overload/memory_account.h"
#include "net/http1_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Http1ServerSlowCaller) {
  static constexpr int kWindowBytes = 64 * 1024;
  static constexpr size_t kBodyBytes = size_t{8} << 20;
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;

  void setup() override {
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, {},
        [](const std::shared_ptr<net::http1_exchange>& exchange) {
          exchange->Send(200, "OK", {}, std::string(kBodyBytes, 'x'));
        });
    CHECK(server != nullptr);
    CHECK(caller.Connect(server->port(), kWindowBytes));
  }
  void Request(const std::string& headers) {
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    CHECK(RunUntil([this] { return server->Undelivered().bytes > 0; }));
  }
  template <typename condition>
  bool RunUntil(condition holds) {
    return fakes::RunUntil(**loop, std::chrono::seconds(5), holds);
  }
  void RunFor(common::duration time) {
    fakes::RunUntil(**loop, time, [] { return false; });
  }
  /// Expects that an unread response counts against a budget, and is reset.
  void ExpectGivesWay(const std::string& headers) {
    core::memory_account_options options;
    options.budget = size_t{1} << 20;
    options.response_stall = std::chrono::milliseconds(200);
    core::memory_account account(options, clock);
    server->SetAccount(account);
    Request(headers);
    CHECK(RunUntil([&] { return account.Exceeded(); }));
    CHECK(RunUntil([&] { return account.held() == 0; }));
    CHECK_EQUAL(0, server->Undelivered().bytes);
    server.reset();
  }
  bool HasWholeResponse() {
    const std::string& all = caller.Read();
    const size_t body = all.find("\r\n\r\n");
    return body != std::string::npos && all.size() == body + 4 + kBodyBytes;
  }
};

// The caller asks for much and reads nothing.
TEST(Http1ServerSlowCaller, AnUnreadResponseGivesWay) { ExpectGivesWay(""); }

TEST(Http1ServerSlowCaller, AnUnreadResponseOfAClosedConnectionGivesWay) {
  ExpectGivesWay("Connection: close\r\n");
}

// A planned stop ended the process with the end of responses still in it.
TEST(Http1ServerSlowCaller, AResponseIsUndeliveredUntilTheCallerHasItAll) {
  Request("");
  LONGS_EQUAL(1, server->Undelivered().connections);
  LONGS_EQUAL(1, server->ActiveRequests());
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK(RunUntil([this] { return server->Undelivered().bytes == 0; }));
  LONGS_EQUAL(0, server->Undelivered().connections);
  LONGS_EQUAL(0, server->ActiveRequests());
}

TEST(Http1ServerSlowCaller, AConnectionWithUnsentBytesIsNotIdle) {
  Request("");
  server->DisableKeepAlive();
  server->CloseIdle();
  LONGS_EQUAL(1, server->ActiveRequests());
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK(RunUntil([this] { return server->ActiveRequests() == 0; }));
  server->CloseIdle();
  CHECK(RunUntil([this] { return caller.Closed(); }));
  CHECK_FALSE(caller.reset());
}

TEST(Http1ServerSlowCaller, AClosedConnectionIsCountedUntilItIsDelivered) {
  Request("Connection: close\r\n");
  LONGS_EQUAL(1, server->Undelivered().connections);
  // The kernel takes the rest some time before the caller has it.
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK(RunUntil([this] { return server->Undelivered().bytes == 0; }));
  CHECK(RunUntil([this] { return caller.Closed(); }));
  CHECK_FALSE(caller.reset());
}

// The rest of a response was dropped when the caller closed its sending side.
TEST(Http1ServerSlowCaller, ACallerThatSendsNoMoreGetsTheWholeResponse) {
  Request("Connection: close\r\n");
  caller.Shutdown();
  RunFor(std::chrono::milliseconds(20));
  CHECK(server->Undelivered().bytes > 0);
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK(RunUntil([this] { return caller.Closed(); }));
  CHECK_FALSE(caller.reset());
}

TEST(Http1ServerSlowCaller, WhatIsGivenUpIsCounted) {
  Request("");
  const auto given_up = [] {
    return common::Metrics().Counter("wisteria_connections_undelivered_total",
                                     {{"why", "stop"}});
  };
  const uint64_t before = given_up();
  server->ReportGivenUp();
  LONGS_EQUAL(before + 1, given_up());
}

// A caller whose window stayed closed for 1.9 s was reset within its response.
TEST(Http1ServerSlowCaller, ACallerThatHaltsForSecondsGetsTheWholeResponse) {
  Request("");
  RunFor(std::chrono::milliseconds(3500));
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK_FALSE(caller.Closed());
}

TEST(Http1ServerSlowCaller, ACallerThatHaltsAfterTheEndGetsTheWholeResponse) {
  Request("Connection: close\r\n");
  RunFor(std::chrono::milliseconds(3500));
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  CHECK(RunUntil([this] { return caller.Closed(); }));
  CHECK_FALSE(caller.reset());
}

// The process held the responses to all requests of a caller that read none.
TEST(Http1ServerSlowCaller, RequestsWaitWhileTheirCallerReadsNothing) {
  constexpr int kRequests = 12;
  constexpr size_t kMaxKernelBytes = size_t{4} << 20;
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests.append("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  LONGS_EQUAL(requests.size(), caller.SendSome(requests));
  RunFor(std::chrono::milliseconds(300));
  CHECK(server->Undelivered().bytes > 0);
  CHECK(server->Undelivered().bytes <= kMaxKernelBytes + 2 * kBodyBytes);
  CHECK(RunUntil([this] {
    const std::string& all = caller.Read();
    return std::count(all.begin(), all.end(), 'x') == kRequests * kBodyBytes;
  }));
  CHECK_FALSE(caller.Closed());
}

TEST(Http1ServerSlowCaller, ACallerThatReadsForLongIsNotIdle) {
  constexpr common::duration kIdleTimeout = std::chrono::milliseconds(300);
  net::http1_server_limits limits;
  limits.idle_timeout = kIdleTimeout;
  server->SetLimits(limits);
  Request("");
  RunFor(3 * kIdleTimeout);
  LONGS_EQUAL(1, server->ActiveRequests());
  CHECK(RunUntil([this] { return HasWholeResponse(); }));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(RunUntil([this] { return caller.Read().size() > 2 * kBodyBytes; }));
}
