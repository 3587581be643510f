#include "core/configuration/configuration_store.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/fake_object_store.h"
#include "unit_tests/fakes/fake_table.h"
#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

TEST_GROUP(ConfigurationStore) {
  fakes::virtual_time time;
  common::seeded_random random{1};
  fakes::fake_table rows{time, random};
  fakes::fake_object_store objects{time};
  core::configuration_store store{rows, objects, time, time, random};

  core::apply_result Apply(const std::string& document, uint64_t expected,
                           const std::string& token) {
    core::apply_result result;
    store.Apply(
        {document, expected, token, "kari"}, "calm",
        [&result](const core::apply_result& answer) { result = answer; });
    time.Advance(10s);
    return result;
  }

  core::apply_result FindApply(const std::string& token, uint64_t expected) {
    core::apply_result result;
    store.FindApply(
        token, expected,
        [&result](const core::apply_result& answer) { result = answer; });
    time.Advance(10s);
    return result;
  }
};

TEST(ConfigurationStore, LostResponseIsResolvedByReadingBack) {
  rows.lost_answer_share = 1;
  const core::apply_result answer = Apply("{}", 0, "t");
  CHECK(answer.status == core::apply_status::kAccepted);
  CHECK_EQUAL(1, answer.version);
}

TEST(ConfigurationStore, RepeatedApplyWithTheSameTokenIsAcceptedOnce) {
  CHECK_EQUAL(1, Apply("{}", 0, "t").version);
  CHECK_EQUAL(1, Apply("{}", 0, "t").version);
  CHECK_EQUAL(1, rows.RowOf("configuration/head").version);
}

TEST(ConfigurationStore, ApplyIsFoundAfterLaterChanges) {
  rows.lost_answer_share = 1;
  store.Apply({"{}", 0, "t", "kari"}, "calm", [](const core::apply_result&) {});
  time.Advance(50ms);  // as if the applying router stopped here
  rows.lost_answer_share = 0;
  CHECK_EQUAL(2, Apply("{\"a\":1}", 1, "u").version);
  CHECK(FindApply("t", 0).status == core::apply_status::kAccepted);
  CHECK_EQUAL(1, FindApply("t", 0).version);
  CHECK(FindApply("never", 0).status == core::apply_status::kSuperseded);
  CHECK(FindApply("later", 2).status == core::apply_status::kPending);
  rows.down = true;
  CHECK(FindApply("t", 0).status == core::apply_status::kUnknown);
}

TEST(ConfigurationStore, LateWriteIsPendingUntilItTakesEffect) {
  rows.late_write_share = 1;
  rows.late_write_delay = 20s;
  CHECK(Apply("{}", 0, "t").status == core::apply_status::kPending);
  time.Advance(20s);
  CHECK(FindApply("t", 0).status == core::apply_status::kAccepted);
}

TEST(ConfigurationStore, HistoryListsAuthorAndTimeNewestFirst) {
  Apply("{}", 0, "t1");
  Apply("{\"a\":1}", 1, "t2");
  std::vector<core::configuration_entry> entries;
  store.History(
      10,
      [&entries](std::optional<std::vector<core::configuration_entry>> answer) {
        entries = answer.value();
      });
  time.Advance(1s);
  CHECK_EQUAL(2, entries.size());
  CHECK_EQUAL(2, entries[0].version);
  CHECK_EQUAL(std::string("kari"), entries[0].author);
  CHECK(entries[0].wall_us > entries[1].wall_us);
}

TEST(ConfigurationStore, ApplyHasNoEffectWhileTheObjectStoreIsDown) {
  objects.down = true;
  CHECK(Apply("{}", 0, "t").status == core::apply_status::kUnknown);
  CHECK_EQUAL(0, rows.RowOf("configuration/head").version);
}
