#include "net/tcp_stream.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

#include "common/metrics.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

/// Counts what a connection reports.
class counting_handler final : public net::tcp_handler {
 public:
  void OnData(std::string_view data) override { received += data.size(); }
  void OnDrained() override {
    if (on_drained) on_drained();
  }
  void OnEnd(net::stream_end) override { ended = true; }

  std::function<void()> on_drained;
  size_t received = 0;
  bool ended = false;
};

}  // namespace

TEST_GROUP(TcpStreamOwed) {
  static constexpr int kWindowBytes = 16 * 1024;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  counting_handler handler;
  std::unique_ptr<net::tcp_stream> stream;
  std::unique_ptr<net::tcp_listener> listener;
  std::optional<fakes::raw_socket> caller;

  void setup() override {
    listener = net::tcp_listener::Create(
        **loop, {"127.0.0.1", 0},
        [this](std::unique_ptr<net::tcp_stream> accepted) {
          stream = std::move(accepted);
          stream->SetHandler(handler);
        });
    CHECK(listener != nullptr);
    caller.emplace();
    CHECK(caller->Connect(listener->port(), kWindowBytes));
    CHECK(RunUntil([this] { return stream != nullptr; }));
  }
  template <typename condition>
  bool RunUntil(condition holds) {
    return fakes::RunUntil(**loop, std::chrono::seconds(5), holds);
  }
  static uint64_t Undelivered(std::string_view why) {
    return common::Metrics().Counter("wisteria_connections_undelivered_total",
                                     {{"why", why}});
  }
};

TEST(TcpStreamOwed, ResetWithinAResponseIsCounted) {
  const uint64_t before = Undelivered("reset");
  stream->Write(std::string(size_t{8} << 20, 'x'));
  // Unread bytes turn its close into a reset.
  caller.reset();
  CHECK(RunUntil([this] { return handler.ended; }));
  LONGS_EQUAL(before + 1, Undelivered("reset"));
}

TEST(TcpStreamOwed, DeliveredResponseIsNotCounted) {
  const uint64_t before = Undelivered("closed by the peer");
  stream->Write("response");
  CHECK(RunUntil([this] { return caller->Read() == "response"; }));
  CHECK(RunUntil([this] { return stream->Owed().total() == 0; }));
  caller.reset();
  CHECK(RunUntil([this] { return handler.ended; }));
  LONGS_EQUAL(before, Undelivered("closed by the peer"));
}

// An answer that filled the socket more than once was never finished.
TEST(TcpStreamOwed, BytesAreOwedUntilThePeerAcknowledgesThem) {
  constexpr size_t kBytes = size_t{8} << 20;
  stream->Write(std::string(kBytes, 'x'));
  const net::owed_bytes owed = stream->Owed();
  CHECK(owed.unsent > 0);
  CHECK(owed.unacknowledged > 0);
  CHECK(owed.total() <= kBytes);
  CHECK(RunUntil([&] {
    caller->Read();
    return stream->Owed().total() == 0;
  }));
}

// Its own writable event is where a connection that drained is written again.
TEST(TcpStreamOwed, BytesWrittenWhenTheConnectionDrainsAreSent) {
  constexpr int kRounds = 4;
  constexpr size_t kBytes = size_t{6} << 20;
  int rounds = 1;
  handler.on_drained = [&] {
    if (rounds < kRounds) stream->Write(std::string(kBytes, 'x'));
    ++rounds;
  };
  stream->Write(std::string(kBytes, 'x'));
  CHECK(RunUntil([&] { return caller->Read().size() == kRounds * kBytes; }));
}

TEST(TcpStreamOwed, ABodyToASlowServerIsSentWhole) {
  constexpr size_t kBytes = size_t{8} << 20;
  const fakes::raw_socket backlog;
  backlog.SetWindow(kWindowBytes);
  counting_handler at_client;
  const std::unique_ptr<net::tcp_stream> client =
      net::tcp_stream::Dial(**loop, {"127.0.0.1", backlog.Listen()}, at_client);
  CHECK(client != nullptr);
  client->Write(std::string(kBytes, 'x'));
  fakes::raw_socket server;
  CHECK(server.AcceptFrom(backlog));
  CHECK(RunUntil([&] { return server.Read().size() == kBytes; }));
}

// A peer that sends faster than it is read kept the loop in one event.
TEST(TcpStreamOwed, OneReadableEventReadsABoundedAmount) {
  constexpr size_t kBytes = size_t{8} << 20;
  constexpr size_t kMaxTurnBytes = size_t{512} * 1024;
  counting_handler at_client;
  const std::unique_ptr<net::tcp_stream> client =
      net::tcp_stream::Dial(**loop, {"127.0.0.1", listener->port()}, at_client);
  CHECK(client != nullptr);
  const net::tcp_stream* first = stream.get();
  CHECK(RunUntil([&] { return stream.get() != first; }));
  stream->PauseReading();
  client->Write(std::string(kBytes, 'x'));
  fakes::RunUntil(**loop, std::chrono::milliseconds(50), [] { return false; });
  size_t largest = 0;
  size_t turn_start = 0;
  std::function<void()> count_turn = [&] {
    largest = std::max(largest, handler.received - turn_start);
    turn_start = handler.received;
    if (handler.received < kBytes) {
      (*loop)->Schedule(common::duration(0), count_turn);
    }
  };
  count_turn();
  stream->ResumeReading();
  CHECK(RunUntil([&] { return handler.received == kBytes; }));
  CHECK(largest > 0);
  CHECK(largest <= kMaxTurnBytes);
}

// Slow peers have a limit of their own; that for silent ones stays.
TEST_GROUP(TcpStreamSilence) {
  static constexpr int kWindowBytes = 16 * 1024;
  static constexpr common::duration kHalt = std::chrono::milliseconds(3500);
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  counting_handler handler;
  std::unique_ptr<net::tcp_stream> stream;
  std::unique_ptr<net::tcp_listener> listener;
  fakes::raw_socket caller;

  void setup() override {
    listener = net::tcp_listener::Create(
        **loop, {"127.0.0.1", 0},
        [this](std::unique_ptr<net::tcp_stream> accepted) {
          stream = std::move(accepted);
          stream->SetHandler(handler);
        });
    CHECK(listener != nullptr);
    CHECK(caller.Connect(listener->port(), kWindowBytes));
    CHECK(fakes::RunUntil(**loop, std::chrono::seconds(5),
                          [this] { return stream != nullptr; }));
  }
  /// @return time until the connection ends, at most six seconds
  common::duration TimeToEnd() {
    const common::time_point start = clock.Now();
    fakes::RunUntil(**loop, std::chrono::seconds(6),
                    [this] { return handler.ended; });
    return clock.Now() - start;
  }
  void Halt() {
    fakes::RunUntil(**loop, kHalt, [this] { return handler.ended; });
    CHECK_FALSE(handler.ended);
  }
};

TEST(TcpStreamSilence, ASilentPeerThatLacksBytesIsNoticedInTwoSeconds) {
  caller.DropArrivals();
  stream->Write("response");
  const common::duration took = TimeToEnd();
  CHECK(handler.ended);
  CHECK(took >= std::chrono::milliseconds(1500));
  CHECK(took < std::chrono::milliseconds(2300));
}

TEST(TcpStreamSilence, APeerThatFallsSilentBehindAClosedWindowIsNoticed) {
  stream->Write(std::string(size_t{8} << 20, 'x'));
  Halt();
  caller.DropArrivals();
  const common::duration took = TimeToEnd();
  CHECK(handler.ended);
  CHECK(took < std::chrono::milliseconds(2300));
}

TEST(TcpStreamSilence, ASilentPeerThatLacksNothingIsNoticedAsBefore) {
  stream->Write("response");
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(5),
                        [this] { return caller.Read() == "response"; }));
  caller.DropArrivals();
  const common::duration took = TimeToEnd();
  CHECK(handler.ended);
  CHECK(took < std::chrono::milliseconds(2600));
}

TEST(TcpStreamSilence, APeerThatReadsNothingForSecondsIsKept) {
  stream->Write(std::string(size_t{8} << 20, 'x'));
  Halt();
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(5), [this] {
    return caller.Read().size() == size_t{8} << 20;
  }));
}
