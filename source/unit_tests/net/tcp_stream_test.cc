#include "net/tcp_stream.h"

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
  void OnEnd(net::stream_end) override { ended = true; }

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
