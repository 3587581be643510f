#include "platform/http_row_store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/http1_server.h"
#include "unit_tests/net/loopback.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using nlohmann::json;

namespace {

constexpr common::duration kLimit = std::chrono::seconds(3);

struct canned_response {
  std::string era;
  uint64_t version = 0;
  std::vector<std::string> keys;
  bool truncated = false;
};

}  // namespace

TEST_GROUP(HttpRowStore) {
  common::system_clock clock;
  std::unique_ptr<net::event_loop> loop =
      std::move(*net::event_loop::Create({}));
  std::unique_ptr<net::http1_client> client =
      std::make_unique<net::http1_client>(*loop, clock,
                                          net::http1_client_options());
  std::unique_ptr<net::http1_server> server;
  std::unique_ptr<core::row_store> store;
  std::vector<canned_response> responses;  ///< the next one first
  std::vector<std::string> requests;

  void setup() override {
    server = net::http1_server::Create(
        *loop, clock, {"127.0.0.1", 0}, net::http1_server_limits(),
        [this](const std::shared_ptr<net::http1_exchange>& exchange) {
          Respond(exchange.get());
        });
    store = platform::MakeHttpRowStore(*loop, *client,
                                       {"127.0.0.1", server->port()}, kLimit);
  }
  void teardown() override {
    store.reset();
    server.reset();
    client.reset();
    loop.reset();
  }

  void Respond(net::http1_exchange * exchange) {
    requests.push_back(exchange->head().target);
    const canned_response next = responses.front();
    responses.erase(responses.begin());
    json body = {{"row-version", next.version},
                 {"truncated", next.truncated},
                 {"rows", json::array()}};
    for (const std::string& key : next.keys) {
      body["rows"].push_back({{"key", key}, {"value", ""}});
    }
    std::vector<net::http_header> headers;
    if (!next.era.empty()) headers.push_back({"Store-Era", next.era});
    exchange->Send(200, "OK", headers, body.dump());
  }

  core::row_store_result Read() {
    std::optional<core::row_store_result> result;
    store->ReadTable(
        "table", [&](const core::row_store_result& read) { result = read; });
    fakes::RunUntil(*loop, kLimit, [&] { return result.has_value(); });
    CHECK(result.has_value());
    return *result;
  }
};

TEST(HttpRowStore, PagesOfTwoErasAreNotJoined) {
  responses = {{"1", 9, {"a", "b"}, true},
               {"2", 7, {"b", "c"}, false},
               {"2", 7, {"x"}, true},
               {"2", 8, {"x", "y"}, false}};
  const core::row_store_result result = Read();
  CHECK(result.at == (core::store_point{2, 7}));
  LONGS_EQUAL(2, result.rows.size());
  CHECK_EQUAL("x", result.rows[0].key);
  CHECK_EQUAL("y", result.rows[1].key);
  LONGS_EQUAL(4, requests.size());
}

TEST(HttpRowStore, AnEraThatIsNoNumberIsNotStated) {
  for (const std::string& era : {"", "-1", "2x", "18446744073709551616"}) {
    responses = {{era, 9, {"a"}, false}};
    const core::row_store_result result = Read();
    CHECK(result.status == core::row_store_status::kOk);
    CHECK(result.at == (core::store_point{0, 9}));
  }
}

TEST(HttpRowStore, APageThatDoesNotAdvanceEndsTheRead) {
  responses = {
      {"1", 9, {"a", "b"}, true}, {"1", 9, {"b"}, true}, {"1", 9, {"b"}, true}};
  const core::row_store_result result = Read();
  CHECK(result.status != core::row_store_status::kOk);
  LONGS_EQUAL(2, requests.size());
}
