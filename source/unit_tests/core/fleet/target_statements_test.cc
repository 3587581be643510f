#include "core/fleet/target_statements.h"

#include <vector>

#include "unit_tests/fakes/virtual_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

core::target_statement BackOff(std::vector<std::string_view> values) {
  core::target_statement statement;
  core::ParseBackOff(values, &statement);
  return statement;
}

core::target_statement Leaving(std::vector<std::string_view> values) {
  core::target_statement statement;
  core::ParseLeaving(values, &statement);
  return statement;
}

}  // namespace

TEST_GROUP(TargetStatements) {
  fakes::virtual_time time;
  core::target_directory targets;
  core::target_statements statements{targets, time};
  core::target_entry entry;

  void setup() override {
    entry.id = "t1";
    entry.service = "plain";
    entry.address = "10.0.0.1:1";
    entry.started_ms = 1;
    targets.Update(entry);
  }
  void Say(common::duration back_off) {
    core::target_statement statement;
    statement.back_off = back_off;
    statements.OnResponse(entry, statement, "");
  }
};

TEST(TargetStatements, TimesAreSecondsWithFractions) {
  CHECK(BackOff({"1.5"}).back_off == milliseconds(1500));
  CHECK(BackOff({" 2 "}).back_off == seconds(2));
  CHECK(BackOff({"0"}).back_off == seconds(0));
  CHECK(BackOff({"1", "3", "2"}).back_off == seconds(3));
  CHECK(BackOff({"99999999999"}).back_off == std::chrono::hours(1));
  CHECK(!BackOff({}).back_off && !BackOff({}).invalid);
}

TEST(TargetStatements, WhatCannotBeUsedIsIgnored) {
  for (const std::string_view text :
       {"", "-1", "1e3", "soon", "nan", "inf", "1,2", "0x10",
        "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CHECK_TEXT(BackOff({text}).invalid, std::string(text).c_str());
    CHECK(!BackOff({text}).back_off);
    CHECK(Leaving({text}).invalid);
    CHECK(!Leaving({text}).leaving);
  }
  CHECK(BackOff({"x", "2"}).back_off == seconds(2));
  CHECK(Leaving({"1"}).leaving);
  CHECK(!Leaving({"0"}).leaving);
}

TEST(TargetStatements, ALongerBackOffPrevailsAndAShorterOneDoesNotCutIt) {
  Say(seconds(2));
  Say(seconds(1));
  CHECK(statements.BackOffLeft(entry) == seconds(2));
  time.Advance(seconds(1));
  Say(seconds(3));
  CHECK(statements.BackOffLeft(entry) == seconds(3));
  time.Advance(seconds(3));
  CHECK(statements.BackOffLeft(entry) == seconds(0));
}

TEST(TargetStatements, ABackOffBelongsToOneStart) {
  Say(seconds(5));
  targets.Remove("t1");
  targets.Update(entry);
  CHECK(statements.BackOffLeft(entry) == seconds(5));
  entry.started_ms = 2;
  CHECK(statements.BackOffLeft(entry) == seconds(0));
}

TEST(TargetStatements, ATargetThatSaysThatItLeavesIsNotBroughtBack) {
  statements.OnResponse(entry, Leaving({"1"}), "");
  CHECK(targets.Find("t1") == nullptr);
  targets.Update(entry);
  CHECK(targets.Find("t1") == nullptr);
  // A response that was sent by the earlier start.
  core::target_entry second = entry;
  second.started_ms = 2;
  targets.Update(second);
  statements.OnResponse(entry, Leaving({"1"}), "");
  CHECK(targets.Find("t1") != nullptr);
}
