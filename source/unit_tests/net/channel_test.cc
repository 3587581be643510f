#include "net/channel.h"

#include "net/http_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kDialTimeout = std::chrono::milliseconds(100);
constexpr common::duration kLimit = std::chrono::seconds(3);

std::unique_ptr<net::event_loop> MakeLoop() {
  net::event_loop::options options;
  options.dial_timeout = kDialTimeout;
  return std::move(*net::event_loop::Create(options));
}

}  // namespace

TEST_GROUP(Channel){};

TEST(Channel, HandshakeThatNeverCompletesTimesOut) {
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  const fakes::raw_socket silent_listener;
  int reports = 0;
  bool opened = false;
  net::DialChannel(*loop, {"127.0.0.1", silent_listener.Listen()},
                   [&](const std::shared_ptr<net::channel>& channel) {
                     ++reports;
                     opened = channel != nullptr;
                   });
  CHECK(fakes::RunUntil(*loop, kLimit, [&] { return reports > 0; }));
  CHECK(!opened);
  LONGS_EQUAL(1, reports);
}

TEST(Channel, RefusedDialReportsOnce) {
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  uint16_t closed_port = 0;
  {
    const fakes::raw_socket closed;
    closed_port = closed.Listen();
  }
  int reports = 0;
  net::DialChannel(*loop, {"127.0.0.1", closed_port},
                   [&](const std::shared_ptr<net::channel>&) { ++reports; });
  CHECK(fakes::RunUntil(*loop, kLimit, [&] { return reports > 0; }));
  fakes::RunUntil(*loop, 2 * kDialTimeout, [] { return false; });
  LONGS_EQUAL(1, reports);
}

TEST(Channel, HandlersAreNotCalledOnLoopDestruction) {
  int closed = 0;
  {
    const std::unique_ptr<net::event_loop> loop = MakeLoop();
    std::shared_ptr<net::channel> accepted;
    std::shared_ptr<net::channel> dialled;
    const std::optional<std::unique_ptr<net::http_server>> server =
        net::http_server::Create(
            *loop, {},
            [](const net::http_request&,
               const std::shared_ptr<net::http_responder>&) {},
            [&](std::shared_ptr<net::channel> channel) {
              accepted = std::move(channel);
            });
    CHECK(server.has_value());
    net::DialChannel(*loop, {"127.0.0.1", (*server)->port()},
                     [&](std::shared_ptr<net::channel> channel) {
                       dialled = std::move(channel);
                     });
    CHECK(fakes::RunUntil(*loop, kLimit, [&] { return accepted && dialled; }));
    dialled->SetClosedHandler([&] { ++closed; });
  }
  LONGS_EQUAL(0, closed);
}

TEST(Channel, PeerThatClosesDuringHandshakeReportsOnce) {
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  const fakes::raw_socket listener;
  const uint16_t port = listener.Listen();
  int reports = 0;
  net::DialChannel(*loop, {"127.0.0.1", port},
                   [&](const std::shared_ptr<net::channel>&) { ++reports; });
  fakes::RunUntil(*loop, kDialTimeout / 4, [] { return false; });
  listener.CloseNext();
  CHECK(fakes::RunUntil(*loop, kLimit, [&] { return reports > 0; }));
  // Past the dial timeout, which must not report the same dial again.
  fakes::RunUntil(*loop, 3 * kDialTimeout, [] { return false; });
  LONGS_EQUAL(1, reports);
}
