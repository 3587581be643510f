#include "net/http1_server.h"

#include <CppUTest/TestHarness.h>

#include <thread>

#include "unit_tests/net/loopback.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Http1Server){};

TEST(Http1Server, DisconnectIsKnownBeforeTheLoopReportsIt) {
  common::system_clock clock;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  CHECK(loop.has_value());
  std::shared_ptr<net::http1_exchange> open;
  bool disconnected = false;
  const std::unique_ptr<net::http1_server> server = net::http1_server::Create(
      **loop, clock, {"127.0.0.1", 0}, {},
      [&](const std::shared_ptr<net::http1_exchange>& exchange) {
        open = exchange;
        open->SetDisconnectHandler([&disconnected] { disconnected = true; });
      });
  CHECK(server != nullptr);
  {
    fakes::raw_socket caller;
    CHECK(caller.Connect(server->port()));
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                          [&] { return open != nullptr; }));
    CHECK_FALSE(open->CallerDisconnected());
  }
  CHECK(open->CallerDisconnected());
  CHECK_FALSE(disconnected);
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return disconnected; }));
  CHECK(open->CallerDisconnected());
}

// A loop that is busy past an idle timeout closed connections on which a
// request had arrived meanwhile.
TEST(Http1Server, RequestThatArrivesWhileTheLoopIsBusyIsNotDroppedAsIdle) {
  constexpr common::duration kIdleTimeout = std::chrono::milliseconds(400);
  constexpr std::chrono::milliseconds kHalfOfBusyTime{300};
  common::system_clock clock;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  CHECK(loop.has_value());
  fakes::raw_socket idle;
  fakes::raw_socket busy;
  int requests = 0;
  net::http1_server_limits limits;
  limits.idle_timeout = kIdleTimeout;
  const std::unique_ptr<net::http1_server> server = net::http1_server::Create(
      **loop, clock, {"127.0.0.1", 0}, limits,
      [&](const std::shared_ptr<net::http1_exchange>& exchange) {
        ++requests;
        if (exchange->head().target == "/busy") {
          std::this_thread::sleep_for(kHalfOfBusyTime);
          idle.Send("GET /again HTTP/1.1\r\nHost: a\r\n\r\n");
          std::this_thread::sleep_for(kHalfOfBusyTime);
        }
        exchange->Send(200, "OK", {}, "");
      });
  CHECK(server != nullptr);
  CHECK(idle.Connect(server->port()));
  CHECK(busy.Connect(server->port()));
  idle.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return requests == 1; }));
  busy.Send("GET /busy HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return requests == 3; }));
}

TEST_GROUP(Http1ServerStop) {
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;

  void setup() override {
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, {},
        [](const std::shared_ptr<net::http1_exchange>& exchange) {
          exchange->Send(200, "OK", {}, "answer");
        });
    CHECK(server != nullptr);
    CHECK(caller.Connect(server->port()));
  }
  void StopServer() {
    server->DisableKeepAlive();
    server->StopAccepting();
    server->CloseIdle();
  }
  bool Answered(size_t responses) {
    return fakes::RunUntil(**loop, std::chrono::seconds(2), [&] {
      const std::string& all = caller.Read();
      size_t count = 0;
      for (size_t at = all.find("answer"); at != std::string::npos;
           at = all.find("answer", at + 1)) {
        ++count;
      }
      return count >= responses;
    });
  }
  static void RunFor(net::event_loop & loop, common::duration time) {
    fakes::RunUntil(loop, time, [] { return false; });
  }
};

TEST(Http1ServerStop, ARequestInTheBacklogIsAnswered) {
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  StopServer();
  CHECK(Answered(1));
}

TEST(Http1ServerStop, AnUnreadRequestOnAnIdleConnectionIsAnswered) {
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Answered(1));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  StopServer();
  LONGS_EQUAL(1, server->ActiveRequests());
  CHECK(Answered(2));
}

TEST(Http1ServerStop, ANewConnectionHasTimeForItsRequest) {
  RunFor(**loop, std::chrono::milliseconds(20));
  StopServer();
  LONGS_EQUAL(1, server->ActiveRequests());
  RunFor(**loop, std::chrono::milliseconds(20));
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Answered(1));
}

TEST(Http1ServerStop, IdleConnectionsAreClosed) {
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Answered(1));
  StopServer();
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return caller.Closed(); }));
  LONGS_EQUAL(0, server->ActiveRequests());
}
