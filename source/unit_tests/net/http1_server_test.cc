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

// The chunk framing of a request was kept without limit.
TEST_GROUP(Http1ServerKeptConnection) {
  static constexpr std::string_view kRequest =
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;
  std::shared_ptr<net::http1_exchange> first;
  size_t stopped_requests = 0;
  size_t other_requests = 0;

  void setup() override {
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, {},
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          if (!first) {
            first = exchange;
          } else if (exchange->fault() == net::body_fault::kStopping) {
            ++stopped_requests;
            exchange->Send(503, "Service Unavailable", {}, "not run");
          } else {
            ++other_requests;
            exchange->Send(200, "OK", {}, "run");
          }
        });
    CHECK(server != nullptr);
    CHECK(caller.Connect(server->port()));
    caller.Send(kRequest);
    CHECK(Until([this] { return first != nullptr; }));
  }
  template <typename condition>
  bool Until(condition holds) {
    return fakes::RunUntil(**loop, std::chrono::seconds(2), holds);
  }
  /// Starts a response and sends a part of it.
  void BeginResponse() const {
    first->SendHead(200, "OK", {}, {net::body_framing::kChunked, 0});
    first->SendBody("part");
  }
  bool WasRead(std::string_view text) {
    return Until(
        [this, text] { return caller.Read().find(text) != std::string::npos; });
  }
  size_t Answers() {
    const std::string& all = caller.Read();
    size_t count = 0;
    for (size_t at = all.find("HTTP/1.1 "); at != std::string::npos;
         at = all.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }
};

// A request behind a response whose head had allowed it was started in a stop,
// and cut at the end of the stop.
TEST(Http1ServerKeptConnection, ClosesWithTheResponseThatEndsInAStop) {
  BeginResponse();
  CHECK(WasRead("part"));
  server->DisableKeepAlive();
  first->Finish();
  CHECK(WasRead("0\r\n\r\n"));
  caller.Send(kRequest);
  CHECK(Until([this] { return caller.Closed(); }));
  LONGS_EQUAL(0, other_requests);
  LONGS_EQUAL(0, stopped_requests);
}

// Requests that were read whole behind such a response were started, or dropped
// without an answer.
TEST(Http1ServerKeptConnection, RefusesRequestsThatWereReadBeforeItsEnd) {
  BeginResponse();
  server->DisableKeepAlive();
  caller.Send(kRequest);
  caller.Send(kRequest);
  caller.Send("GET / HTTP/1.1\r\nHo");
  fakes::RunUntil(**loop, std::chrono::milliseconds(100), [] { return false; });
  first->Finish();
  CHECK(Until([this] { return caller.Closed(); }));
  LONGS_EQUAL(0, other_requests);
  LONGS_EQUAL(2, stopped_requests);
  LONGS_EQUAL(3, Answers());
}

// The head that is held back for the first part of the body said nothing of a
// stop that had begun meanwhile.
TEST(Http1ServerKeptConnection, AHeadThatWasNotSentTellsOfTheStop) {
  first->SendHead(200, "OK", {}, {net::body_framing::kChunked, 0});
  server->DisableKeepAlive();
  first->SendBody("part");
  CHECK(WasRead("part"));
  CHECK(WasRead("Connection: close\r\n"));
  first->Finish();
  CHECK(Until([this] { return caller.Closed(); }));
}

TEST(Http1Server, PartsWithoutEndAreRejectedWithTheirStatus) {
  struct expectation {
    const char* begin;
    char repeated;
    const char* status;
  };
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  common::system_clock clock;
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  net::http1_server_limits limits;
  limits.message.max_head_bytes = 4096;
  limits.message.max_body_bytes = 5000;
  const std::unique_ptr<net::http1_server> server = net::http1_server::Create(
      **loop, clock, {"127.0.0.1", 0}, limits,
      [](const std::shared_ptr<net::http1_exchange>& exchange) {
        exchange->Send(200, "OK", {}, "");
      });
  CHECK(server != nullptr);
  for (const auto& [begin, repeated, status] :
       {expectation{"", '0', "400"}, expectation{"5;a=", 'x', "400"},
        expectation{"0;a=", 'x', "400"}, expectation{"0\r\nX: ", 'x', "431"},
        expectation{"1388\r\n", 'x', "400"},
        expectation{"1389\r\n", 'x', "413"}}) {
    fakes::raw_socket caller;
    CHECK(caller.Connect(server->port()));
    caller.Send(chunked + begin + std::string(8192, repeated));
    CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                          [&] { return !caller.Read().empty(); }));
    STRNCMP_EQUAL((std::string("HTTP/1.1 ") + status).c_str(),
                  caller.Read().c_str(), 12);
  }
}

TEST_GROUP(Http1ServerBody) {
  static constexpr common::duration kTimeout = std::chrono::milliseconds(400);
  static constexpr common::duration kGap = std::chrono::milliseconds(50);
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;
  size_t sent = 0;

  void setup() override {
    net::http1_server_limits limits;
    limits.header_timeout = kTimeout;
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, limits,
        [](const std::shared_ptr<net::http1_exchange>& exchange) {
          exchange->Send(200, "OK", {}, "answer");
        });
    CHECK(server != nullptr);
    CHECK(caller.Connect(server->port()));
  }
  /// Sends a body of 50,000 bytes piece by piece, until there is a response or
  /// a time limit has passed.
  void SendBody(const std::string& piece, common::duration limit) {
    constexpr size_t kSize = 50000;
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(kSize) + "\r\n\r\n");
    for (common::duration passed{}; passed < limit && sent < kSize;
         passed += kGap) {
      caller.Send(piece);
      sent += piece.size();
      if (fakes::RunUntil(**loop, kGap, [&] { return HasResponse(); })) return;
    }
  }
  bool HasResponse() { return !caller.Read().empty(); }
};

TEST(Http1ServerBody, ABodyOfAByteNowAndThenIsRejected) {
  SendBody("x", std::chrono::seconds(3));
  CHECK(caller.Read().starts_with("HTTP/1.1 408"));
}

TEST(Http1ServerBody, ASlowBodyThatArrivesSteadilyIsRead) {
  SendBody(std::string(1000, 'x'), std::chrono::seconds(10));
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return HasResponse(); }));
  CHECK(caller.Read().starts_with("HTTP/1.1 200"));
}

TEST_GROUP(Http1ServerUntilClose) {
  static constexpr int kWindowBytes = 256 * 1024;
  common::system_clock clock;
  std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  net::http1_server_limits limits;
  std::shared_ptr<net::http1_exchange> open;
  std::unique_ptr<net::http1_server> server;
  fakes::raw_socket caller;

  void StartResponse(const std::string& version) {
    server = net::http1_server::Create(
        **loop, clock, {"127.0.0.1", 0}, limits,
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          open = exchange;
        });
    CHECK(server != nullptr);
    CHECK(caller.Connect(server->port(), kWindowBytes));
    caller.Send("GET / HTTP/" + version + "\r\nHost: a\r\n\r\n");
    CHECK(RunUntil([this] { return open != nullptr; }));
    open->SendHead(200, "OK", {}, {net::body_framing::kUntilClose});
    open->SendBody("part");
    CHECK(RunUntil([this] { return caller.Read().ends_with("part"); }));
  }
  template <typename condition>
  bool RunUntil(condition holds) {
    return fakes::RunUntil(**loop, std::chrono::seconds(5), holds);
  }
  bool IsReset() {
    CHECK(RunUntil([this] { return caller.Closed(); }));
    return caller.reset();
  }
};

TEST(Http1ServerUntilClose, ACompleteBodyEndsWithAClose) {
  StartResponse("1.1");
  open->Finish();
  CHECK_FALSE(IsReset());
  const std::string& response = caller.Read();
  CHECK(response.ends_with("\r\n\r\npart"));
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(response.find("Content-Length") == std::string::npos);
  CHECK(response.find("Transfer-Encoding") == std::string::npos);
}

TEST(Http1ServerUntilClose, ABrokenBodyEndsWithAReset) {
  StartResponse("1.1");
  open->Abort();
  CHECK(IsReset());
}

TEST(Http1ServerUntilClose, ABodyEndsWithAResetIfTheServerIsDestroyed) {
  StartResponse("1.1");
  server.reset();
  CHECK(IsReset());
}

// The last response of a connection was cut off a second after its end.
TEST(Http1ServerUntilClose, ASlowCallerGetsTheWholeBody) {
  constexpr size_t kBytes = size_t{6} << 20;
  StartResponse("1.1");
  open->SendBody(std::string(kBytes, 'x'));
  open->Finish();
  fakes::RunUntil(**loop, std::chrono::milliseconds(1300),
                  [] { return false; });
  CHECK_FALSE(IsReset());
  CHECK(caller.Read().size() > kBytes);
}

TEST(Http1ServerUntilClose, ACallerThatReadsNothingIsReset) {
  limits.stall_timeout = std::chrono::milliseconds(1500);
  StartResponse("1.1");
  open->SendBody(std::string(size_t{12} << 20, 'x'));
  open->Finish();
  fakes::RunUntil(**loop, std::chrono::milliseconds(2500),
                  [] { return false; });
  CHECK(IsReset());
}
