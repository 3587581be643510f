// Entries that another writer left among those of the targets: nothing ends the
// process, and nothing out of range gets in.

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/last_error.h"
#include "common/random.h"
#include "core/fleet/target_directory.h"
#include "net/endpoint.h"
#include "platform/route_decoder.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr uint64_t kFirstSeed = 1;
constexpr uint64_t kSeeds = 200;
constexpr int kEntriesPerSeed = 50;
constexpr size_t kDeepNesting = 1000000;

/// A field of an entry, and its value as JSON text.
struct entry_field {
  std::string name;
  std::string value;
};

std::vector<entry_field> ValidFields() {
  return {{"service", R"("plain")"},
          {"address", R"("10.0.0.1:8080")"},
          {"zone", R"("a")"},
          {"version", R"("v1")"},
          {"slots", "4"},
          {"state", R"("ready")"},
          {"sequence", "3"},
          {"cold-remaining-ms", "250.5"},
          {"born", "1700000000000"}};
}

std::string TextOf(const std::vector<entry_field>& fields) {
  std::string text = "{";
  for (const entry_field& each : fields) {
    if (text.size() > 1) text.push_back(',');
    text.append("\"").append(each.name).append("\":").append(each.value);
  }
  return text + "}";
}

/// @return an entry in which one field has another value
std::string EntryWith(const std::string& name, const std::string& value) {
  std::vector<entry_field> fields = ValidFields();
  for (entry_field& each : fields) {
    if (each.name == name) each.value = value;
  }
  return TextOf(fields);
}

std::string Nested(size_t depth, bool closed) {
  std::string text(depth, '[');
  if (closed) text.append(depth, ']');
  return text;
}

std::string OddValue(common::random_source* random) {
  static const std::vector<std::string> kValues = {
      "null",
      "true",
      "{}",
      "[]",
      R"("")",
      "-1",
      "0",
      "0.4",
      "1e300",
      "-1e300",
      "1e400",
      "18446744073709551615",
      "18446744073709551616",
      "9223372036854775807",
      "-9223372036854775808",
      "4294967296",
      R"("10.0.0.1:70000")",
      R"("10.0.0.1:0")",
      R"("999.1.1.1:80")",
      R"("...:80")",
      R"("host:80")",
      R"("10.0.0.1:-1")",
      R"("10.0.0.1:99999999999999999999")",
      "\"\xff\xfe\"",
      R"("\ud800")"};
  const uint64_t pick = random->Below(kValues.size() + 2);
  if (pick < kValues.size()) return kValues[pick];
  return Nested(1 + random->Below(5000), pick == kValues.size());
}

/// @return a good entry after a few changes of fields or bytes
std::string OddEntry(common::random_source* random) {
  std::vector<entry_field> fields = ValidFields();
  const uint64_t changes = 1 + random->Below(3);
  for (uint64_t i = 0; i < changes; ++i) {
    entry_field& field = fields[random->Below(fields.size())];
    if (random->Below(4) == 0) {
      field.name = "other";
    } else {
      field.value = OddValue(random);
    }
  }
  std::string text = TextOf(fields);
  if (random->Below(4) != 0) return text;
  for (uint64_t i = 0; i < changes; ++i) {
    text[random->Below(text.size())] = static_cast<char>(random->Below(256));
  }
  if (random->Below(2) == 0) text.resize(random->Below(text.size()));
  return text;
}

/// Checks that an entry which was taken for good is within range.
void CheckInRange(const core::target_entry& entry, const std::string& text) {
  CHECK_TEXT(net::ParseNumericEndpoint(entry.address).has_value(),
             text.c_str());
  CHECK_TEXT(entry.slots >= 1 && entry.slots <= 1000000, text.c_str());
  CHECK_TEXT(entry.warm_up_remaining >= common::duration(0), text.c_str());
  CHECK_TEXT(entry.warm_up_remaining <= std::chrono::hours(24), text.c_str());
  CHECK_TEXT(entry.started_ms >= 0, text.c_str());
}

}  // namespace

TEST_GROUP(OddEntries){};

TEST(OddEntries, MutatedEntriesAreRefusedOrInRange) {
  int refused = 0;
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    common::seeded_random random(seed);
    for (int i = 0; i < kEntriesPerSeed; ++i) {
      const std::string text = OddEntry(&random);
      const std::optional<core::target_entry> decoded =
          platform::DecodeTarget("i-1", text);
      if (decoded) {
        CheckInRange(*decoded, text);
      } else {
        ++refused;
        CHECK(!common::LastError().text.empty());
      }
    }
  }
  CHECK(refused > 0);
}

TEST(OddEntries, NumbersOutOfRangeAreRefused) {
  const std::vector<entry_field> odd = {{"slots", "1e300"},
                                        {"slots", "0"},
                                        {"slots", "0.4"},
                                        {"slots", "4294967296"},
                                        {"cold-remaining-ms", "1e300"},
                                        {"cold-remaining-ms", "-1"},
                                        {"born", "18446744073709551615"},
                                        {"born", "9223372036854775807"},
                                        {"born", "-1"},
                                        {"address", R"("10.0.0.1:0")"},
                                        {"address", R"("10.0.0.1:70000")"},
                                        {"address", R"("999.1.1.1:80")"},
                                        {"address", R"("...:80")"}};
  for (const entry_field& each : odd) {
    CHECK_TEXT(!platform::DecodeTarget("i-1", EntryWith(each.name, each.value)),
               (each.name + " " + each.value).c_str());
  }
}

TEST(OddEntries, GoodEntryIsTaken) {
  const std::optional<core::target_entry> decoded =
      platform::DecodeTarget("i-1", TextOf(ValidFields()));
  CHECK(decoded.has_value());
  CHECK_EQUAL(4u, decoded->slots);
  CHECK(decoded->warm_up_remaining == std::chrono::microseconds(250500));
  CHECK(decoded->started_ms == 1700000000000);
}

TEST(OddEntries, DeepNestingIsRefused) {
  for (const bool closed : {true, false}) {
    const std::string nested = Nested(kDeepNesting, closed);
    CHECK(!platform::DecodeTarget("i-1", nested));
    CHECK(!platform::DecodeTarget("i-1", EntryWith("slots", nested)));
    CHECK(!platform::DecodeRoutes(nested));
    // A field that nobody reads.
    std::vector<entry_field> fields = ValidFields();
    fields.push_back({"extra", nested});
    CHECK(platform::DecodeTarget("i-1", TextOf(fields)).has_value() == closed);
  }
}

TEST(OddEntries, RoutesWithNumbersOutOfRangeAreRefused) {
  const std::string head =
      R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",)"
      R"("path-prefix":"/","kind":"idempotent","service":"s",)";
  CHECK(platform::DecodeRoutes(head + R"("timeout-ms":1000}]})").has_value());
  CHECK(!platform::DecodeRoutes(head + R"("timeout-ms":1e300}]})"));
  CHECK(!platform::DecodeRoutes(head +
                                R"("timeout-ms":1000,"priority":1e300}]})"));
  CHECK(!platform::DecodeRoutes(
      head + R"("timeout-ms":1000,"max-attempts":4294967296}]})"));
}
