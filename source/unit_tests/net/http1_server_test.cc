#include "net/http1_server.h"

#include <CppUTest/TestHarness.h>

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
