#include "net/http_client.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/net/loopback.h"
#include "unit_tests/net/scripted_server.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(HttpClient) {
  std::unique_ptr<net::event_loop> loop = *net::event_loop::Create({});
  fakes::scripted_server server{*loop};

  net::http_result Call(uint64_t max_body_bytes = uint64_t{64} << 20) {
    net::http_call call;
    call.max_body_bytes = max_body_bytes;
    call.to = server.listen_address();
    call.path = "/";
    call.timeout = std::chrono::milliseconds(500);
    net::http_result result;
    bool done = false;
    net::StartHttpCall(*loop, std::move(call),
                       [&](const net::http_result& ended) {
                         result = ended;
                         done = true;
                       });
    CHECK(fakes::RunUntil(*loop, std::chrono::seconds(5),
                          [&done] { return done; }));
    return result;
  }
};

TEST(HttpClient, AStatusThatEndsNoResponseIsAFailure) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    server.AddResponse("HTTP/1.1 " + status +
                       " Odd\r\nContent-Length: 4\r\n\r\nbody");
    const net::http_result result = Call();
    CHECK(!result.complete);
    CHECK(!result.failure.empty());
  }
}

// What breaks off is never reported as complete.
TEST(HttpClient, AResponseThatBreaksOffIsNotComplete) {
  using end = fakes::scripted_server::after_response;
  struct expectation {
    std::string rest;  ///< of the response, behind its status line
    end how;
    bool complete;
  };
  const std::vector<expectation> cases = {
      {"Content-Length: 4\r\n\r\nbody", end::kClose, true},
      {"Content-Length: 5\r\n\r\nbody", end::kClose, false},
      {"Content-Length: 5\r\n\r\nbody", end::kReset, false},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", end::kClose,
       true},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", end::kClose, false},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", end::kReset, false},
      {"Transfer-Encoding: chunked\r\n\r\n8\r\nbody", end::kClose, false},
      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", end::kKeep,
       true},
      {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", end::kKeep, true},
      {"Content-Length: 0\r\n\r\n", end::kKeep, true},
      {"\r\nbody", end::kReset, false},
      {"\r\nbody", end::kClose, false},
      {"X-Half: a he", end::kClose, false},
  };
  std::string wrong;
  for (const expectation& each : cases) {
    server.AddResponse("HTTP/1.1 200 OK\r\n" + each.rest, each.how);
    const net::http_result result = Call();
    if (result.complete != each.complete) {
      wrong += each.rest + (each.how == end::kReset ? " (reset)" : "") + "; ";
    }
  }
  CHECK_EQUAL("", wrong);
}

// The body of a response was kept without limit until the call's timeout.
TEST(HttpClient, ABodyOverTheLimitOfItsCallFails) {
  using end = fakes::scripted_server::after_response;
  for (const std::string& framing :
       {std::string("Content-Length: 100000000\r\n\r\n"), std::string("\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n5f5e100\r\n")}) {
    server.AddResponse(
        "HTTP/1.1 200 OK\r\n" + framing + std::string(size_t{4} << 20, 'x'),
        end::kKeep);
    const net::http_result result = Call(100000);
    CHECK_FALSE(result.complete);
    CHECK_EQUAL("the body of the response is too large", result.failure);
    CHECK(result.body.empty());
  }
  server.AddResponse("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                     end::kKeep);
  CHECK(Call(4).complete);
}
