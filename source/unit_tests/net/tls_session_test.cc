#include <fcntl.h>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <string>
#include <vector>

#include "common/last_error.h"
#include "net/http_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kLimit = std::chrono::seconds(10);
constexpr size_t kLargeBytes = size_t{3} << 20;

/// A certificate of its own authority, in a folder that is removed with it.
class certificate {
 public:
  certificate() {
    std::string pattern = "/tmp/wisteria-tls-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    const std::string command =
        "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=a "
        "-keyout " +
        folder_ + "/key -out " + folder_ + "/certificate 2>/dev/null";
    made_ = std::system(command.c_str()) == 0;
  }
  ~certificate() {
    std::error_code ignored;
    static_cast<void>(std::filesystem::remove_all(folder_, ignored));
  }
  certificate(const certificate&) = delete;
  certificate& operator=(const certificate&) = delete;

  bool made() const { return made_; }
  net::tls_options files() const {
    return {folder_ + "/certificate", folder_ + "/key", ""};
  }

 private:
  std::string folder_;
  bool made_ = false;
};

/// A client that does not wait, with small buffers.
class tls_client {
 public:
  explicit tls_client(uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)),
        context_(SSL_CTX_new(TLS_client_method())),
        session_(SSL_new(context_)) {
    const int buffer = 8192;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(fd_, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    SSL_set_mode(session_, SSL_MODE_ENABLE_PARTIAL_WRITE |
                               SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    SSL_set_fd(session_, fd_);
    SSL_set_connect_state(session_);
  }
  ~tls_client() {
    SSL_free(session_);
    SSL_CTX_free(context_);
    close(fd_);
  }
  tls_client(const tls_client&) = delete;
  tls_client& operator=(const tls_client&) = delete;

  bool connected() const { return connected_; }
  void Send(std::string_view data) { outgoing_.append(data); }
  /// Writes and reads what is possible now.
  /// @return all bytes received so far
  const std::string& Step() {
    size_t size = 0;
    while (!outgoing_.empty() && SSL_write_ex(session_, outgoing_.data(),
                                              outgoing_.size(), &size) == 1) {
      outgoing_.erase(0, size);
    }
    char piece[4096];
    if (SSL_read_ex(session_, piece, sizeof(piece), &size) == 1) {
      received_.append(piece, size);
    }
    return received_;
  }

 private:
  int fd_;
  SSL_CTX* context_;
  SSL* session_;
  bool connected_ = false;
  std::string outgoing_;
  std::string received_;
};

std::string Numbers(size_t bytes) {
  std::string text;
  for (int i = 0; text.size() < bytes; ++i) text += std::to_string(i) + ",";
  return text;
}

}  // namespace

TEST_GROUP(TlsSession) {
  certificate own;
  std::unique_ptr<net::event_loop> loop =
      std::move(*net::event_loop::Create({}));
  std::vector<net::http_request> requests;
  std::unique_ptr<net::http_server> server;

  void setup() override {
    CHECK(own.made());
    net::http_server::options options;
    options.tls = own.files();
    options.max_body_bytes = 2 * kLargeBytes;
    server = std::move(*net::http_server::Create(
        *loop, options,
        [this](net::http_request request,
               const std::shared_ptr<net::http_responder>& responder) {
          responder->Send(200, "text/plain", request.body);
          requests.push_back(std::move(request));
        }));
  }
  void teardown() override {
    server.reset();
    loop.reset();
  }
};

TEST(TlsSession, LargeBodiesArriveWholeBothWays) {
  tls_client client(server->port());
  CHECK(client.connected());
  const std::string body = Numbers(kLargeBytes);
  for (int i = 0; i < 2; ++i) {
    client.Send("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  CHECK(fakes::RunUntil(*loop, kLimit, [&] {
    for (int i = 0; i < 100; ++i) client.Step();
    return client.Step().size() > 2 * body.size();
  }));
  LONGS_EQUAL(2, requests.size());
  CHECK(requests[0].body == body && requests[1].body == body);
  const std::string& received = client.Step();
  const size_t first = received.find(body);
  CHECK(first != std::string::npos);
  CHECK(received.find(body, first + body.size()) != std::string::npos);
}

TEST(TlsSession, PlainBytesEndTheirConnectionOnly) {
  fakes::raw_socket plain;
  CHECK(plain.Connect(server->port()));
  plain.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(fakes::RunUntil(*loop, kLimit, [&] { return plain.Closed(); }));
  LONGS_EQUAL(0, requests.size());
  tls_client client(server->port());
  client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(fakes::RunUntil(*loop, kLimit, [&] {
    return client.Step().find("200 OK") != std::string::npos;
  }));
}

// A part of a record lies in the session, but nothing can be read from it.
TEST(TlsSession, APeerThatStopsWithinARecordCostsNothing) {
  fakes::raw_socket stopped;
  CHECK(stopped.Connect(server->port()));
  constexpr std::string_view kPartOfHandshake("\x16\x03\x01\x02\x00\x01\x00",
                                              7);
  stopped.Send(kPartOfHandshake);
  fakes::RunUntil(*loop, std::chrono::milliseconds(50), [] { return false; });
  const std::clock_t started = std::clock();
  fakes::RunUntil(*loop, std::chrono::milliseconds(400), [] { return false; });
  const double busy_seconds =
      static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  CHECK(busy_seconds < 0.2);
}

TEST(TlsSession, FilesThatCannotBeUsedAreReported) {
  net::http_server::options options;
  options.tls = {"/nowhere/certificate", "/nowhere/key", ""};
  CHECK(!net::http_server::Create(*loop, options, {}).has_value());
  CHECK(common::LastError().code == common::result_code::kBadSettings);
}
