#include "net/http_client.h"
#include "net/http_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kLimit = std::chrono::seconds(4);
constexpr common::duration kTimeout = std::chrono::milliseconds(150);
constexpr size_t kPendingLimit = size_t{64} * 1024;
constexpr int kPiecesPerTimeout = 8;
constexpr int kMaxTries = 50;

}  // namespace

TEST_GROUP(Http) {
  std::unique_ptr<net::event_loop> loop =
      std::move(*net::event_loop::Create({}));
  common::system_clock clock;
  std::vector<net::http_request> requests;
  std::vector<std::shared_ptr<net::http_responder>> held;
  int disconnects = 0;
  bool respond_at_once = true;
  std::unique_ptr<net::http_server> server;

  void setup() override {
    net::http_server::options options;
    options.receive_timeout = kTimeout;
    options.send_stall_limit = kTimeout;
    options.max_pending_bytes = kPendingLimit;
    options.max_body_bytes = 1024;
    server = std::move(*net::http_server::Create(
        *loop, options,
        [this](const net::http_request& request,
               const std::shared_ptr<net::http_responder>& responder) {
          OnRequest(request, responder);
        }));
  }

  void teardown() override {
    held.clear();
    server.reset();
    loop.reset();
  }

  void OnRequest(const net::http_request& request,
                 const std::shared_ptr<net::http_responder>& responder) {
    requests.push_back(request);
    responder->SetDisconnectHandler([this] { ++disconnects; });
    if (!respond_at_once) {
      held.push_back(responder);
      return;
    }
    responder->Send(request.body_timed_out ? 408 : 200, "text/plain",
                    request.path);
  }

  template <typename condition>
  bool Wait(condition holds) {
    return fakes::RunUntil(*loop, kLimit, holds);
  }

  void RunFor(common::duration time) {
    fakes::RunUntil(*loop, time, [] { return false; });
  }

  static bool Has(fakes::raw_socket & caller, std::string_view text) {
    return caller.Read().find(text) != std::string::npos;
  }
};

TEST(Http, BodyThatDoesNotArriveGets408AndClose) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
  CHECK(Wait([&] { return Has(caller, "408"); }));
  CHECK(requests.at(0).body_timed_out);
  CHECK(Wait([&] { return caller.Closed(); }));
}

TEST(Http, SlowBodyIsTimedOutAsAWhole) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("POST /drip HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n");
  CHECK(Wait([&] {
    caller.Send("x");
    return Has(caller, "408");
  }));
  LONGS_EQUAL(1, requests.size());
}

TEST(Http, HalfCloseWithinABodyDoesNotAffectOtherConnections) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
  RunFor(kTimeout / 4);
  caller.Shutdown();
  CHECK(Wait([&] { return caller.Closed(); }));
  fakes::raw_socket other;
  CHECK(other.Connect(server->port()));
  other.Send("GET /beside HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(other, "/beside"); }));
}

TEST(Http, DisconnectIsReportedOnce) {
  respond_at_once = false;
  {
    fakes::raw_socket caller;
    CHECK(caller.Connect(server->port()));
    caller.Send("GET /gone HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Wait([&] { return !held.empty(); }));
  }
  CHECK(Wait([&] { return disconnects > 0; }));
  held.at(0)->Send(200, "text/plain", "late");
  RunFor(kTimeout);
  LONGS_EQUAL(1, disconnects);
}

TEST(Http, UnreadStreamIsAbortedAtMaxPendingBytes) {
  respond_at_once = false;
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return !held.empty(); }));
  held.at(0)->StartStream(200, "text/event-stream");
  const std::string piece(8192, 'x');
  size_t max_pending = 0;
  for (int i = 0; i < 2000 && disconnects == 0; ++i) {
    held.at(0)->Write(piece);
    max_pending = std::max(max_pending, held.at(0)->PendingBytes());
    if (i % 8 == 0) RunFor(std::chrono::milliseconds(2));
  }
  CHECK(Wait([&] { return disconnects == 1; }));
  CHECK(max_pending <= kPendingLimit + 2 * piece.size());
  held.at(0)->Finish();
  CHECK(Wait([&] { return caller.Closed(); }));
  // The final chunk never arrives, so the response cannot be taken for
  // complete.
  CHECK(caller.Read().find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST(Http, UnreadResponseIsAbortedAfterTheStallLimit) {
  respond_at_once = false;
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("GET /big HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return !held.empty(); }));
  held.at(0)->Send(200, "text/plain", std::string(32 << 20, 'x'));
  CHECK(server->Undelivered().bytes > 0);
  CHECK(Wait([&] { return server->Undelivered().connections == 0; }));
  CHECK(caller.Read().size() < size_t{32} << 20);
  CHECK(Wait([&] { return caller.Closed(); }));
}

TEST(Http, UnreadStreamIsAbortedAfterTheStallLimit) {
  respond_at_once = false;
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return !held.empty(); }));
  held.at(0)->StartStream(200, "text/event-stream");
  const std::string piece(8192, 'x');
  while (held.at(0)->PendingBytes() < kPendingLimit / 2) {
    held.at(0)->Write(piece);
  }
  CHECK(Wait([&] { return disconnects == 1; }));
}

TEST(Http, PipelinedRequestsAreAnsweredInOrder) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send(
      "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
      "GET /two HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /three HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(caller, "/three"); }));
  const std::string& text = caller.Read();
  CHECK(text.find("/one") < text.find("/two"));
  CHECK(text.find("/two") < text.find("/three"));
  STRCMP_EQUAL("hi", requests.at(0).body.c_str());
}

TEST(Http, PipelinedBodiesAreAnsweredInOrder) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send(
      "GET /one HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /two HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
      "POST /three HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe");
  CHECK(Wait([&] { return Has(caller, "/two"); }));
  LONGS_EQUAL(2, requests.size());
  caller.Send("llo");
  CHECK(Wait([&] { return Has(caller, "/three"); }));
  STRCMP_EQUAL("hi", requests.at(1).body.c_str());
  STRCMP_EQUAL("hello", requests.at(2).body.c_str());
  fakes::raw_socket other;
  CHECK(other.Connect(server->port()));
  other.Send("GET /beside HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(other, "/beside"); }));
}

TEST(Http, BodyAfterACompleteResponseIsAccepted) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("GET /one HTTP/1.1\r\nHost: a\r\n\r\nPOST /t");
  CHECK(Wait([&] { return Has(caller, "/one"); }));
  caller.Send("wo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
  CHECK(Wait([&] { return Has(caller, "/two"); }));
  STRCMP_EQUAL("hi", requests.at(1).body.c_str());
}

TEST(Http, ConnectionServesOneRequestAfterAnother) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  for (int i = 0; i < 3; ++i) {
    const std::string path = "/kept" + std::to_string(i);
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Wait([&] { return Has(caller, path); }));
  }
  LONGS_EQUAL(3, requests.size());
}

TEST(Http, HeadHasNoBodyAndOptionsReachesTheHandler) {
  fakes::raw_socket head;
  CHECK(head.Connect(server->port()));
  head.Send("HEAD /head HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(head, "\r\n\r\n"); }));
  RunFor(kTimeout / 4);
  CHECK(head.Read().ends_with("\r\n\r\n"));
  fakes::raw_socket options;
  CHECK(options.Connect(server->port()));
  options.Send("OPTIONS /options HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(options, "/options"); }));
  STRCMP_EQUAL("HEAD", requests.at(0).method.c_str());
  STRCMP_EQUAL("OPTIONS", requests.at(1).method.c_str());
}

TEST(Http, BodyWithoutLengthIsReported) {
  for (const std::string_view length :
       {"", "Content-Length: -5\r\n", "Content-Length: many\r\n",
        "Transfer-Encoding: chunked\r\n"}) {
    fakes::raw_socket caller;
    CHECK(caller.Connect(server->port()));
    caller.Send("POST /nolength HTTP/1.1\r\nHost: a\r\n" + std::string(length) +
                "\r\nabc");
    CHECK(Wait([&] { return caller.Closed(); }));
  }
  for (const net::http_request& request : requests) {
    CHECK(request.length_missing);
  }
  CHECK(!requests.empty());
}

TEST(Http, ABodyOverTheLimitIsReportedAtTheHead) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send(
      "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 1025\r\n\r\n");
  CHECK(Wait([&] { return caller.Closed(); }));
  CHECK(requests.at(0).body_too_large);
  CHECK(!requests.at(0).HasWholeBody());
}

TEST(Http, LongHeadersAreReportedAndOversizedOnesRejected) {
  fakes::raw_socket caller;
  CHECK(caller.Connect(server->port()));
  caller.Send("GET /long HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " +
              std::string(1500, 'k') + "\r\n\r\n");
  CHECK(Wait([&] { return Has(caller, "/long"); }));
  CHECK(requests.at(0).header_too_long);
  fakes::raw_socket endless;
  CHECK(endless.Connect(server->port()));
  endless.Send("GET /endless HTTP/1.1\r\nHost: a\r\nAccept: " +
               std::string(60000, 'k') + "\r\n\r\n");
  CHECK(Wait([&] { return endless.Closed(); }));
  LONGS_EQUAL(1, requests.size());
}

TEST(Http, InvalidBytesDoNotAffectOtherConnections) {
  for (const std::string_view bytes :
       {std::string_view("\x16\x03\x01\x02\x00\x01", 6),
        std::string_view("\0\0\0\0\r\n\r\n", 8),
        std::string_view("GARBAGE\r\n\r\n")}) {
    fakes::raw_socket caller;
    CHECK(caller.Connect(server->port()));
    caller.Send(bytes);
    RunFor(kTimeout / 4);
  }
  fakes::raw_socket other;
  CHECK(other.Connect(server->port()));
  other.Send("GET /after HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Wait([&] { return Has(other, "/after"); }));
}

TEST(Http, CallWithoutFirstByteTimesOut) {
  const fakes::raw_socket silent_listener;
  net::http_call call;
  call.to = {"127.0.0.1", silent_listener.Listen()};
  call.path = "/mute";
  call.first_byte_timeout = kTimeout;
  net::http_result result;
  bool done = false;
  net::StartHttpCall(*loop, call, [&](const net::http_result& ended) {
    result = ended;
    done = true;
  });
  CHECK(Wait([&] { return done; }));
  STRCMP_EQUAL("silent", result.failure.c_str());
}

TEST(Http, CallWithSilenceWithinTheBodyTimesOut) {
  respond_at_once = false;
  // A process that gets no processor for the idle timeout is silent itself:
  // only a call whose pieces all followed in time says anything.
  bool in_time = false;
  for (int tries = 0; tries < kMaxTries && !in_time; ++tries) {
    held.clear();
    net::http_call call;
    call.to = {"127.0.0.1", server->port()};
    call.path = "/silent";
    call.idle_timeout = kTimeout;
    net::http_result result;
    bool done = false;
    std::string body;
    net::StartHttpCall(
        *loop, call,
        [&](const net::http_result& ended) {
          result = ended;
          done = true;
        },
        [&](std::string_view data) { body.append(data); });
    CHECK(Wait([&] { return !held.empty(); }));
    held.at(0)->StartStream(200, "text/plain");
    // Pieces that arrive within the idle timeout keep the call alive, for twice
    // that time in all.
    in_time = true;
    std::string sent;
    common::time_point previous = clock.Now();
    for (int i = 0; i < 2 * kPiecesPerTimeout && in_time; ++i) {
      const common::time_point start = clock.Now();
      held.at(0)->Write("piece ");
      sent.append("piece ");
      RunFor(kTimeout / kPiecesPerTimeout);
      in_time = clock.Now() - previous < kTimeout;
      if (in_time) CHECK(!done);
      previous = start;
    }
    CHECK(Wait([&] { return done; }));
    CHECK(!result.complete);
    STRCMP_EQUAL("silent", result.failure.c_str());
    if (in_time) STRCMP_EQUAL(sent.c_str(), body.c_str());
  }
  CHECK(in_time);
}
