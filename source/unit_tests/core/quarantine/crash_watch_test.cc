#include "core/quarantine/crash_watch.h"

#include <CppUTest/TestHarness.h>

#include "unit_tests/fakes/virtual_time.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kSecond = std::chrono::seconds(1);

}  // namespace

// Attempts whose request timed out, or whose caller left, before the target's
// connection ended were not counted, so that a request that silences each
// target before its process ends was never refused.
TEST_GROUP(CrashWatch) {
  fakes::virtual_time time;
  core::target_directory targets;
  core::crash_suspects requests{core::crash_suspects_options(), time};
  core::crash_suspects parts{core::PartSuspectsOptions(), time};
  core::crash_watch_options options;
  core::crash_watch watch{options, requests, parts, targets, time};

  void setup() override {
    for (const char* id : {"t1", "t2", "t3", "t4", "t5", "t6", "t7"}) {
      targets.Update(Entry(id));
    }
    targets.SetLeavingHandler(
        [this](const core::fleet_target& target, core::leaving_reason) {
          watch.OnTargetLeaving(target);
        });
  }

  static core::target_entry Entry(const std::string& id) {
    core::target_entry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = id;
    return entry;
  }
  static core::crash_suspicion Suspicion(const std::string& digest) {
    return {"id-" + digest, digest, {}, 0};
  }
  void Drop(const char* target, const char* digest) {
    watch.OnDropped(*targets.Find(target), Suspicion(digest));
  }
  bool Refuses(const char* digest) const {
    return requests.RemainingRefusal(digest).count() > 0;
  }
};

TEST(CrashWatch, ARequestThatSilencesThreeTargetsBeforeTheyEndIsRefused) {
  for (const char* target : {"t1", "t2", "t3"}) {
    CHECK_FALSE(Refuses("bad"));
    Drop(target, "bad");
    time.Advance(3 * kSecond);
    targets.Remove(target);
  }
  CHECK(Refuses("bad"));
  CHECK(watch.empty());
}

TEST(CrashWatch, TimedOutAttemptsOnSlowTargetsAreNotHeldAgainstARequest) {
  for (int round = 0; round < 5; ++round) {
    for (const char* target : {"t1", "t2", "t3"}) {
      Drop(target, "slow");
      time.Advance(kSecond);
      // The answer to a later request, however late.
      watch.OnTargetAnswered(target, time.Now());
    }
  }
  CHECK(watch.empty());
  for (const char* target : {"t1", "t2", "t3"}) targets.Remove(target);
  CHECK(requests.empty());
}

// The answer may have been on its way when the target went silent.
TEST(CrashWatch, AnAnswerToAnEarlierRequestDoesNotShowThatATargetLives) {
  const common::time_point earlier = time.Now();
  time.Advance(kSecond);
  for (const char* target : {"t1", "t2", "t3"}) {
    Drop(target, "bad");
    watch.OnTargetAnswered(target, earlier);
    targets.Remove(target);
  }
  CHECK(Refuses("bad"));
}

TEST(CrashWatch, ATargetThatStopsWithNoticeWasNotCrashed) {
  for (const char* target : {"t1", "t2", "t3"}) {
    Drop(target, "sound");
    core::target_entry draining = Entry(target);
    draining.draining = true;
    targets.Update(draining);
    targets.Remove(target);
  }
  CHECK(requests.empty());
  CHECK(watch.empty());
}

TEST(CrashWatch, ATargetThatIsLostLongAfterwardsWasNotCrashed) {
  for (const char* target : {"t1", "t2", "t3"}) Drop(target, "sound");
  time.Advance(options.watch_time + kSecond);
  for (const char* target : {"t1", "t2", "t3"}) targets.Remove(target);
  CHECK(requests.empty());
}

TEST(CrashWatch, ATargetThatWasLostBeforeTheAttemptWasDroppedCounts) {
  for (const char* target : {"t1", "t2", "t3"}) {
    const std::shared_ptr<core::fleet_target> lost = targets.Find(target);
    targets.Remove(target);
    watch.OnDropped(*lost, Suspicion("bad"));
  }
  CHECK(Refuses("bad"));
}

TEST(CrashWatch, ALaterStartUnderTheSameIdShowsThatATargetWasLost) {
  for (int64_t start = 1; start <= 3; ++start) {
    Drop("t1", "bad");
    core::target_entry again = Entry("t1");
    again.started_ms = start;
    targets.Update(again);
  }
  CHECK(Refuses("bad"));
}

// A target that is back under its id within a second answers others before the
// store names its start: its new process was taken for the one that went
// silent.
TEST(CrashWatch, AnAnswerOfALaterStartDoesNotShowThatATargetLived) {
  for (int restart = 0; restart < 3; ++restart) {
    Drop("t1", "bad");
    time.Advance(kSecond);
    core::target_entry again = Entry("t1");
    again.started_ms = time.WallMicros() / 1000;
    time.Advance(kSecond);
    watch.OnTargetAnswered("t1", time.Now());
    time.Advance(kSecond);
    targets.Update(again);
  }
  CHECK(Refuses("bad"));
}

TEST(CrashWatch, ATargetThatIsStartedAgainAfterAnAnswerOutlivedTheAttempt) {
  for (int restart = 0; restart < 3; ++restart) {
    Drop("t1", "sound");
    time.Advance(kSecond);
    watch.OnTargetAnswered("t1", time.Now());
    time.Advance(kSecond);
    core::target_entry again = Entry("t1");
    again.started_ms = time.WallMicros() / 1000;
    targets.Update(again);
  }
  CHECK(requests.empty());
}

TEST(CrashWatch, AnAnswerElsewhereClearsARequestOfAnAnsweringTarget) {
  for (int restart = 0; restart < 3; ++restart) {
    Drop("t1", "sound");
    core::target_entry again = Entry("t1");
    again.started_ms = time.WallMicros() / 1000 + 1;
    time.Advance(kSecond);
    watch.OnTargetAnswered("t1", time.Now());
    watch.OnAnswered("sound");
    targets.Update(again);
  }
  CHECK(requests.empty());
}

// An outage of the store hides for longer than a silence lasts that a target is
// gone.
TEST(CrashWatch, AnEntryThatOutlivesItsTargetInAnOutageOfTheStoreCounts) {
  for (const char* target : {"t1", "t2", "t3"}) {
    Drop(target, "bad");
    time.Advance(30 * kSecond);
    targets.Remove(target);
  }
  CHECK(Refuses("bad"));
}

TEST(CrashWatch, AnAnswerElsewhereClearsARequest) {
  for (const char* target : {"t1", "t2", "t3", "t4"}) Drop(target, "sound");
  watch.OnAnswered("sound");
  for (const char* target : {"t1", "t2", "t3", "t4"}) targets.Remove(target);
  CHECK(requests.empty());
}

TEST(CrashWatch, EachLostTargetCountsOnce) {
  for (int i = 0; i < 5; ++i) Drop("t1", "twice");
  targets.Remove("t1");
  Drop("t2", "twice");
  targets.Remove("t2");
  CHECK_FALSE(Refuses("twice"));
}

TEST(CrashWatch, PartsOfPromptsThatSilenceTargetsAreRefused) {
  for (const char* target : {"t1", "t2", "t3", "t4", "t5"}) {
    parts.NoteAnswer();
    core::crash_suspicion suspicion = Suspicion(target);
    suspicion.parts = {core::PartDigest("bad")};
    suspicion.part_weight = 1;
    watch.OnDropped(*targets.Find(target), suspicion);
    time.Advance(kSecond);
    targets.Remove(target);
  }
  CHECK(parts.RemainingRefusal(core::PartDigest("bad")).count() > 0);
}

TEST(CrashWatch, WatchedAttemptsAreBoundedAndExpire) {
  for (size_t i = 0; i < 2 * options.max_watched; ++i) {
    watch.OnDropped(*targets.Find("t1"), Suspicion(std::to_string(i)));
  }
  CHECK_EQUAL(options.max_watched, watch.size());
  time.Advance(options.watch_time + kSecond);
  Drop("t2", "last");
  CHECK_EQUAL(1, watch.size());
}
