#include "core/fleet/routes_exchange.h"

#include <string>
#include <vector>

#include "unit_tests/fakes/virtual_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::milliseconds kRoutesLimit{2000};

std::shared_ptr<const core::route_table> Routes(uint64_t version) {
  core::route_document document;
  document.version = version;
  return std::make_shared<const core::route_table>(std::move(document));
}

}  // namespace

TEST_GROUP(RoutesExchange) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  core::route_holder routes;
  std::vector<std::string> asked;
  std::string unlinked;
  core::routes_exchange_options options =
      core::MakeRoutesExchangeOptions(kRoutesLimit);
  core::routes_exchange exchange{
      options,
      routes,
      time,
      time,
      random,
      [this](const std::string& gateway, const core::routes_edition&) {
        if (gateway == unlinked) return false;
        asked.push_back(gateway);
        return true;
      }};

  void setup() override { routes.ReplaceIfNewer(Routes(1)); }
};

// Each gateway sent the whole document to each other one; small links were
// full for seconds, and links were lost and made again with it.
TEST(RoutesExchange, RoutesThatTheStoreBringsAreNotRequested) {
  exchange.OnAnnounced({"a", 0.5, {2}}, false);
  exchange.OnAnnounced({"b", 0.5, {2}}, false);
  time.Advance(options.store_wait / 2);
  routes.ReplaceIfNewer(Routes(2));
  time.Advance(kRoutesLimit);
  exchange.OnAnnounced({"c", 0.5, {2}}, false);
  time.Advance(kRoutesLimit);
  CHECK(asked.empty());
}

TEST(RoutesExchange, OneGatewayAtATimeIsAskedTheLargestFirst) {
  exchange.OnAnnounced({"small", 0.02, {2}}, false);
  exchange.OnAnnounced({"large", 0.5, {2}}, false);
  exchange.OnAnnounced({"older", 0.9, {1}}, false);
  time.Advance(options.store_wait);
  CHECK(asked == std::vector<std::string>{"large"});
  time.Advance(options.response_limit);
  CHECK(asked == (std::vector<std::string>{"large", "small"}));
  routes.ReplaceIfNewer(Routes(2));
  time.Advance(kRoutesLimit);
  LONGS_EQUAL(2, asked.size());
  LONGS_EQUAL(0, time.pending());
}

TEST(RoutesExchange, ALostRequestIsFollowedByASecondWithinTheLimit) {
  exchange.OnAnnounced({"a", 0.5, {2}}, false);
  exchange.OnAnnounced({"b", 0.5, {2}}, false);
  time.Advance(kRoutesLimit - options.response_limit);
  CHECK(asked.size() >= 2);
}

TEST(RoutesExchange, AGatewayThatCannotReadTheStoreAsksAtOnce) {
  exchange.OnAnnounced({"a", 0.5, {2}}, true);
  time.Advance(common::duration(1));
  LONGS_EQUAL(1, asked.size());
}

TEST(RoutesExchange, ALostGatewayIsNotAsked) {
  unlinked = "b";
  exchange.OnAnnounced({"a", 0.5, {2}}, false);
  exchange.OnAnnounced({"b", 0.9, {2}}, false);
  exchange.OnAnnounced({"c", 0.7, {2}}, false);
  exchange.OnGatewayLost("c");
  time.Advance(options.store_wait);
  CHECK(asked == std::vector<std::string>{"a"});
}

TEST(RoutesExchange, GatewaysThatDidNotRespondAreAskedAgain) {
  exchange.OnAnnounced({"a", 0.5, {2}}, false);
  time.Advance(options.store_wait + 2 * options.response_limit);
  CHECK(asked == (std::vector<std::string>{"a", "a", "a"}));
}

// A document that one version of the program accepts and another one does not
// would be requested again and again.
TEST(RoutesExchange, RefusedRoutesAreNotRequestedAgain) {
  exchange.OnAnnounced({"a", 0.5, {2}}, false);
  time.Advance(options.store_wait);
  exchange.OnRefused({2});
  exchange.OnAnnounced({"b", 0.5, {2}}, false);
  time.Advance(10 * kRoutesLimit);
  LONGS_EQUAL(1, asked.size());
  exchange.OnAnnounced({"a", 0.5, {3}}, false);
  time.Advance(options.store_wait);
  LONGS_EQUAL(2, asked.size());
}
