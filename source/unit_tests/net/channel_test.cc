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

namespace {

/// A server in one loop, with the last channel that it accepted.
struct channel_server {
  explicit channel_server(net::event_loop& loop)
      : server(std::move(*net::http_server::Create(
            loop, {},
            [](const net::http_request&,
               const std::shared_ptr<net::http_responder>&) {},
            [this](std::shared_ptr<net::channel> channel) {
              accepted = std::move(channel);
            }))) {}
  std::unique_ptr<net::http_server> server;
  std::shared_ptr<net::channel> accepted;
};

}  // namespace

namespace {

/// Sends the handshake of a channel.
void SendHandshake(const fakes::raw_socket& peer) {
  peer.Send(
      "GET /peer HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
      "Sec-WebSocket-Protocol: wisteria-peer\r\n\r\n");
}

}  // namespace

TEST(Channel, PeerThatReadsSlowlyGetsEverything) {
  constexpr int kWindowBytes = 16 * 1024;
  constexpr size_t kMessageBytes = size_t{1} << 20;
  constexpr int kMessages = 8;
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  channel_server server(*loop);
  fakes::raw_socket peer;
  CHECK(peer.Connect(server.server->port(), kWindowBytes));
  SendHandshake(peer);
  CHECK(fakes::RunUntil(*loop, kLimit,
                        [&] { return server.accepted != nullptr; }));
  for (int i = 0; i < kMessages; ++i) {
    server.accepted->Send(std::string(kMessageBytes, 'x'));
  }
  CHECK(fakes::RunUntil(*loop, kLimit, [&] {
    return peer.Read().size() > kMessages * kMessageBytes;
  }));
  LONGS_EQUAL(0, server.accepted->PendingBytes());
}

// A peer that closes its side while unsent bytes were queued kept
// libwebsockets in one call for ever: the process stopped responding.
TEST(Channel, PeerThatClosesBeforeReadingEverythingEndsTheChannel) {
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  channel_server server(*loop);
  fakes::raw_socket peer;
  CHECK(peer.Connect(server.server->port()));
  SendHandshake(peer);
  CHECK(fakes::RunUntil(*loop, kLimit,
                        [&] { return server.accepted != nullptr; }));
  bool closed = false;
  server.accepted->SetClosedHandler([&] { closed = true; });
  for (int i = 0; i < 8; ++i) {
    server.accepted->Send(std::string(size_t{1} << 20, 'x'));
  }
  fakes::RunUntil(*loop, kDialTimeout, [] { return false; });
  CHECK(server.accepted->PendingBytes() > 0);
  peer.Shutdown();
  CHECK(fakes::RunUntil(*loop, kLimit, [&] { return closed; }));
}

TEST(Channel, AnswersToPingsThatNobodyReadsAreBounded) {
  constexpr size_t kMaxPendingBytes = size_t{1} << 20;
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  channel_server server(*loop);
  const fakes::raw_socket peer;
  CHECK(peer.Connect(server.server->port()));
  SendHandshake(peer);
  CHECK(fakes::RunUntil(*loop, kLimit,
                        [&] { return server.accepted != nullptr; }));
  std::string pings;
  for (int i = 0; i < 1000; ++i) {
    // Masked, with a mask of zeros.
    pings.append("\x89\xfd").append(4, '\0').append(125, 'x');
  }
  size_t sent = 0;
  CHECK(fakes::RunUntil(*loop, kLimit, [&] {
    sent += peer.SendSome(std::string_view(pings).substr(sent % pings.size()));
    return sent > 100 * pings.size();
  }));
  CHECK(server.accepted->PendingBytes() < kMaxPendingBytes);
}

TEST(Channel, MessagesOfAllSizesArriveInOrderAtBothEnds) {
  const std::unique_ptr<net::event_loop> loop = MakeLoop();
  channel_server server(*loop);
  std::shared_ptr<net::channel> dialled;
  net::DialChannel(*loop, {"127.0.0.1", server.server->port()},
                   [&](std::shared_ptr<net::channel> channel) {
                     dialled = std::move(channel);
                   });
  CHECK(fakes::RunUntil(*loop, kLimit,
                        [&] { return server.accepted && dialled; }));
  // On both sides of the limits of the frame's three length fields.
  std::vector<std::string> sent;
  for (const size_t size : {size_t{1}, size_t{125}, size_t{126}, size_t{65535},
                            size_t{65536}, size_t{3} << 20, size_t{2}}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
  }
  std::vector<std::string> at_server;
  std::vector<std::string> at_client;
  server.accepted->SetMessageHandler(
      [&](std::string_view message) { at_server.emplace_back(message); });
  dialled->SetMessageHandler(
      [&](std::string_view message) { at_client.emplace_back(message); });
  for (const std::string& message : sent) {
    dialled->Send(message);
    server.accepted->Send(message);
  }
  CHECK(fakes::RunUntil(*loop, kLimit, [&] {
    return at_server.size() == sent.size() && at_client.size() == sent.size();
  }));
  CHECK(at_server == sent);
  CHECK(at_client == sent);
  LONGS_EQUAL(0, dialled->PendingBytes());
  LONGS_EQUAL(0, server.accepted->PendingBytes());
}
