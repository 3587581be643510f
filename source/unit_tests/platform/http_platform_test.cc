#include "platform/http_platform.h"

#include <CppUTest/TestHarness.h>

#include "net/http_server.h"
#include "unit_tests/net/loopback.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(HttpPlatform) {
  std::unique_ptr<net::event_loop> loop =
      std::move(*net::event_loop::Create({}));
  std::string response;
  std::unique_ptr<net::http_server> server;
  platform::platform_options options;

  void setup() override {
    server = std::move(*net::http_server::Create(
        *loop, {},
        [this](const net::http_request&,
               const std::shared_ptr<net::http_responder>& responder) {
          responder->Send(200, "application/json", response);
        }));
    options.address = {"127.0.0.1", server->port()};
  }
  void teardown() override {
    server.reset();
    loop.reset();
  }
};

TEST(HttpPlatform, MalformedResponsesAreUnavailableAndEndNothing) {
  const std::unique_ptr<core::table> table =
      platform::MakeHttpTable(*loop, options);
  const std::unique_ptr<core::vm_list> vms =
      platform::MakeHttpVmList(*loop, options);
  for (const std::string_view body :
       {"", "7", "[]", "{\"key\":3}", "{\"value\":[],\"version\":\"x\"}",
        "{\"rows\":7}", "{\"rows\":[7]}", "{\"rows\":[{\"status\":1}]}",
        "{\"rows\":[{\"status\":\"ok\",\"key\":{}}]}", "{\"vms\":7}",
        "{\"vms\":[3]}", "{\"vms\":[{\"name\":5}]}",
        "{\"vms\":[{\"name\":\"a\",\"port\":\"b\"}]}"}) {
    response = body;
    int done = 0;
    table->Read("k", core::table_priority::kOperations,
                [&](const core::table_result&) { ++done; });
    table->Write("k", 0, "v", core::table_priority::kOperations,
                 [&](const core::table_result& result) {
                   ++done;
                   CHECK(result.status != core::table_status::kConflict);
                 });
    table->WriteBatch(
        {{"k", 0, "v"}}, core::table_priority::kOperations,
        [&](const std::vector<core::table_result>& results) {
          ++done;
          LONGS_EQUAL(1, results.size());
          CHECK(results[0].status == core::table_status::kUnavailable);
        });
    table->List("k", 10, core::table_priority::kOperations,
                [&](const core::table_list_result&) { ++done; });
    vms->Fetch(
        [&](const std::optional<std::vector<core::vm_entry>>&) { ++done; });
    CHECK(fakes::RunUntil(*loop, std::chrono::seconds(5),
                          [&] { return done == 5; }));
  }
}
