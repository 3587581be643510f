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

constexpr size_t kConnections = 12;
constexpr rlim_t kFreeDescriptors = 3;

/// Leaves the process only a few free descriptors during its lifetime.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t free) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = open("/dev/null", O_RDONLY | O_CLOEXEC);
    CHECK(next >= 0);
    close(next);
    rlimit limit = before_;
    limit.rlim_cur = static_cast<rlim_t>(next) + free;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

}  // namespace

TEST_GROUP(TcpListenerLimits){};

TEST(TcpListenerLimits,
     ConnectionsAreRejectedWithoutDescriptorsAndAcceptedLater) {
  const std::optional<std::unique_ptr<net::event_loop>> loop =
      net::event_loop::Create({});
  CHECK(loop.has_value());
  std::vector<std::unique_ptr<net::tcp_stream>> accepted;
  const std::unique_ptr<net::tcp_listener> listener = net::tcp_listener::Create(
      **loop, {"127.0.0.1", 0},
      [&accepted](std::unique_ptr<net::tcp_stream> stream) {
        accepted.push_back(std::move(stream));
      });
  CHECK(listener != nullptr);
  std::vector<std::unique_ptr<fakes::raw_socket>> callers;
  for (size_t i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<fakes::raw_socket>());
    CHECK(callers.back()->Connect(listener->port()));
  }
  {
    const descriptor_limit limited(kFreeDescriptors);
    fakes::RunUntil(**loop, std::chrono::milliseconds(50),
                    [] { return false; });
  }
  CHECK_EQUAL(kFreeDescriptors, accepted.size());
  const std::string text = common::Metrics().PrometheusText();
  CHECK(text.find("wisteria_connections_rejected_total 9") !=
        std::string::npos);
  fakes::raw_socket later;
  CHECK(later.Connect(listener->port()));
  CHECK(fakes::RunUntil(**loop, std::chrono::seconds(2), [&] {
    return accepted.size() == kFreeDescriptors + 1;
  }));
}
