#include <fcntl.h>
#include <sys/resource.h>

#include <memory>
#include <string>
#include <vector>

#include "common/metrics.h"
#include "net/tcp_stream.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kCallers = 12;
constexpr rlim_t kLeft = 3;

/// Leaves the process only a few descriptors while it lives.
class few_descriptors {
 public:
  explicit few_descriptors(rlim_t left) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = open("/dev/null", O_RDONLY | O_CLOEXEC);
    CHECK(next >= 0);
    close(next);
    rlimit limit = before_;
    limit.rlim_cur = static_cast<rlim_t>(next) + left;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~few_descriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  few_descriptors(const few_descriptors&) = delete;
  few_descriptors& operator=(const few_descriptors&) = delete;

 private:
  rlimit before_{};
};

}  // namespace

TEST_GROUP(TcpListenerLimits){};

TEST(TcpListenerLimits,
     WithoutDescriptorsConnectionsAreRejectedAndLaterOnesTaken) {
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  CHECK(loop.has_value());
  std::vector<std::unique_ptr<net::tcp_stream>> taken;
  const std::unique_ptr<net::tcp_listener> listener = net::tcp_listener::Create(
      **loop, {"127.0.0.1", 0},
      [&taken](std::unique_ptr<net::tcp_stream> stream) {
        taken.push_back(std::move(stream));
      });
  CHECK(listener != nullptr);
  std::vector<std::unique_ptr<fakes::raw_socket>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<fakes::raw_socket>());
    CHECK(callers.back()->Connect(listener->port()));
  }
  {
    const few_descriptors few(kLeft);
    fakes::RunUntil(**loop, std::chrono::milliseconds(50),
                    [] { return false; });
  }
  CHECK_EQUAL(kLeft, taken.size());
  const std::string text = common::Metrics().PrometheusText();
  CHECK(text.find("wisteria_connections_rejected_total 9") !=
        std::string::npos);
  fakes::raw_socket later;
  CHECK(later.Connect(listener->port()));
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2),
                        [&] { return taken.size() == kLeft + 1; }));
}
