#include "core/routes/route_table.h"

#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

core::route Route(const std::string& name, const std::string& host,
                  const std::string& prefix) {
  core::route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

std::shared_ptr<const core::route_table> Table(uint64_t version) {
  core::route_document document;
  document.version = version;
  return std::make_shared<const core::route_table>(std::move(document));
}

}  // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, TheLongestPrefixOfTheHostWins) {
  core::route_document document;
  document.routes = {Route("short", "a.example", "/x/"),
                     Route("long", "a.example", "/x/y/"),
                     Route("other", "b.example", "/x/y/z/")};
  const core::route_table table(std::move(document));
  CHECK_EQUAL("long", table.Find("A.example", "/x/y/z/1")->name);
  CHECK_EQUAL("short", table.Find("a.example", "/x/yz")->name);
  POINTERS_EQUAL(nullptr, table.Find("a.example", "/x"));
  POINTERS_EQUAL(nullptr, table.Find("c.example", "/x/y/"));
}

TEST(RouteTable, KeysIdentifyTheirOrganisation) {
  core::route_document document;
  document.organisations = {{"molde", {"k1", "k2"}, 1}, {"volda", {"k3"}, {}}};
  const core::route_table table(std::move(document));
  CHECK_EQUAL("molde", table.FindKey("k2")->name);
  CHECK_EQUAL("volda", table.FindKey("k3")->name);
  POINTERS_EQUAL(nullptr, table.FindKey("k4"));
}

TEST(RouteTable, OlderVersionsAreIgnored) {
  core::route_holder holder;
  CHECK(holder.ReplaceIfNewer(Table(5)));
  CHECK(!holder.ReplaceIfNewer(Table(4)));
  CHECK(!holder.ReplaceIfNewer(Table(5)));
  CHECK(holder.ReplaceIfNewer(Table(9)));
  CHECK_EQUAL(9, holder.current()->version());
}

TEST(RouteTable, AVersionWrittenAnewInALaterEraIsNewer) {
  core::route_holder holder;
  CHECK(holder.ReplaceIfNewer(Table(5), 1));
  CHECK(holder.ReplaceIfNewer(Table(5), 2));
  CHECK(!holder.ReplaceIfNewer(Table(5), 1));
  CHECK(!holder.ReplaceIfNewer(Table(4), 3));
  holder.Confirm(3);
  CHECK(!holder.ReplaceIfNewer(Table(5), 3));
  CHECK(holder.edition() == (core::routes_edition{5, 3}));
}
