#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "net/http1_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

class settable_clock final : public common::clock {
 public:
  common::time_point Now() const override { return now; }
  int64_t WallMicros() const override { return 0; }
  common::time_point now{std::chrono::hours(1)};
};

}  // namespace

TEST_GROUP(ConnectionLimit) {
  settable_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::shared_ptr<net::http1_exchange> open;
  std::unique_ptr<net::http1_server> server;
  std::vector<std::unique_ptr<fakes::raw_socket>> callers;

  void setup() override {
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, {},
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          if (exchange->head().target == "/open") {
            open = exchange;
          } else {
            exchange->Send(200, "OK", {}, "answer");
          }
        });
    CHECK(server != nullptr);
  }
  void RunLoop() {
    fakes::RunUntil(**loop, std::chrono::milliseconds(30),
                    [] { return false; });
  }
  /// Connects, and sends a request unless the path is empty.
  fakes::raw_socket& Connect(const std::string& path) {
    callers.push_back(std::make_unique<fakes::raw_socket>());
    CHECK(callers.back()->Connect(server->port()));
    if (!path.empty()) Request(*callers.back(), path);
    RunLoop();
    return *callers.back();
  }
  static void Request(const fakes::raw_socket& on, const std::string& path) {
    on.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  /// @return whether a request is answered
  bool Answers(fakes::raw_socket & on) {
    const size_t before = on.Read().size();
    Request(on, "/");
    return fakes::RunUntil(**loop, std::chrono::milliseconds(200),
                           [&] { return on.Read().size() > before; });
  }
};

TEST(ConnectionLimit, NewCallerTakesThePlaceOfOneThatHasSentNothing) {
  server->SetMaxConnections(3);
  fakes::raw_socket& used = Connect("/");
  Connect("/open");
  fakes::raw_socket& silent = Connect("");
  clock.now += std::chrono::milliseconds(1500);
  fakes::raw_socket& next = Connect("");
  CHECK(Answers(next));
  CHECK(!Answers(silent));
  CHECK(Answers(used));
  LONGS_EQUAL(3, server->ConnectionCount());
  CHECK(open != nullptr && !open->CallerDisconnected());
}

TEST(ConnectionLimit, NewCallerTakesThePlaceOfOneThatStopsWithinARequest) {
  for (const std::string_view part :
       {"GET / HTTP/1.1\r\nHos",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"}) {
    server->SetMaxConnections(2);
    fakes::raw_socket& used = Connect("/");
    fakes::raw_socket& stopped = Connect("");
    stopped.Send(part);
    RunLoop();
    fakes::raw_socket& rejected = Connect("");
    CHECK(!Answers(rejected));
    clock.now += std::chrono::milliseconds(1500);
    CHECK(Answers(used));
    fakes::raw_socket& next = Connect("");
    CHECK(Answers(next));
    CHECK(stopped.Closed());
    callers.clear();
    RunLoop();
  }
}

TEST(ConnectionLimit, NewCallerIsRejectedWhileNobodyHasBeenIdleForLong) {
  server->SetMaxConnections(2);
  fakes::raw_socket& first = Connect("");
  Connect("/open");
  fakes::raw_socket& rejected = Connect("");
  CHECK(!Answers(rejected));
  CHECK(Answers(first));
  LONGS_EQUAL(2, server->ConnectionCount());
}

// A listener that could not even reject used a whole core.
TEST(ConnectionLimit, ListenerWithoutAnyDescriptorWaits) {
  fakes::raw_socket caller;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  close(next);
  rlimit limited = before;
  // Enough for the listener's socket, not for its spare descriptor.
  limited.rlim_cur = static_cast<rlim_t>(next) + 1;
  setrlimit(RLIMIT_NOFILE, &limited);
  int accepted = 0;
  const std::unique_ptr<net::tcp_listener> listener = net::tcp_listener::Create(
      **loop, {"127.0.0.1", 0},
      [&accepted](const std::unique_ptr<net::tcp_stream>&) { ++accepted; });
  CHECK(listener != nullptr);
  CHECK(caller.Connect(listener->port()));
  const std::clock_t started = std::clock();
  fakes::RunUntil(**loop, std::chrono::milliseconds(400), [] { return false; });
  const double busy_seconds =
      static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  LONGS_EQUAL(0, accepted);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(busy_seconds < 0.2);
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&accepted] { return accepted == 1; }));
}
