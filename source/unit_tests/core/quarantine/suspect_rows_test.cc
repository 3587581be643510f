#include "core/quarantine/suspect_rows.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "unit_tests/fakes/process_time.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr common::duration kSecond = std::chrono::seconds(1);
constexpr char kTable[] = "suspects";

struct memory_store {
  std::map<std::string, std::string> rows;
  bool down = false;
  bool applies_though_down = false;  ///< writes, whose answers are lost
  int writes = 0;
  /// The store's clock minus that of the processes.
  common::milliseconds clock_offset{123456};

  /// @return the count in a row; 0: there is none
  int64_t CrashesOf(const std::string& key) const {
    const auto found = rows.find(key);
    return found == rows.end()
               ? 0
               : nlohmann::json::parse(found->second)["crashes"].get<int64_t>();
  }
};

/// A process's connection to the store. Each call takes 5 ms.
class store_connection final : public core::row_store {
 public:
  store_connection(memory_store& store, fakes::process_time& time)
      : store_(store), time_(time) {}

  void ReadTable(std::string_view, core::row_store_handler handler) override {
    core::row_store_result result;
    for (const auto& [key, value] : store_.rows) {
      result.rows.push_back({key, value});
    }
    Answer(handler, std::move(result), core::row_store_status::kRefused);
  }
  void ReadChanges(std::string_view, uint64_t, common::milliseconds,
                   core::row_store_handler) override {}
  void Write(std::string_view, std::span<const core::row_change> changes,
             core::row_store_handler handler) override {
    ++store_.writes;
    CHECK(changes.size() <= core::kMaxRowChanges);
    if (!store_.down || store_.applies_though_down) {
      for (const core::row_change& change : changes) {
        if (change.value) {
          store_.rows[change.key] = *change.value;
        } else {
          store_.rows.erase(change.key);
        }
      }
    }
    Answer(handler, {},
           store_.applies_though_down ? core::row_store_status::kNoResponse
                                      : core::row_store_status::kRefused);
  }

 private:
  void Answer(const core::row_store_handler& handler,
              core::row_store_result result,
              core::row_store_status status_if_down) {
    constexpr common::duration kDelay = std::chrono::milliseconds(5);
    if (store_.down) {
      result = core::row_store_result();
      result.status = status_if_down;
    } else {
      result.status = core::row_store_status::kOk;
      result.clock = std::chrono::duration_cast<common::milliseconds>(
                         time_.Now().time_since_epoch()) +
                     store_.clock_offset;
    }
    time_.Schedule(kDelay, [handler, result] { handler(result); });
  }

  memory_store& store_;
  fakes::process_time& time_;
};

/// What one process knows of suspects.
struct process {
  process(fakes::virtual_time& shared, memory_store& store, bool cleans)
      : time(shared),
        connection(store, time),
        requests(core::crash_suspects_options(), time),
        parts(core::PartSuspectsOptions(), time),
        rows(core::suspect_rows_options(), connection, kTable, requests, parts,
             time, time, [cleans] { return cleans; }) {
    for (core::crash_suspects* each : {&requests, &parts}) {
      each->SetReportHandler([this](const core::crash_report& report) {
        rows.OnChanged(report.digest);
        if (peer != nullptr) peer->Hear(report);
      });
    }
    rows.Start([this] { ready = true; });
  }
  void Hear(const core::crash_report& report) {
    requests.Merge(report);
    rows.OnReportedElsewhere(report);
  }

  fakes::process_time time;
  store_connection connection;
  core::crash_suspects requests;
  core::crash_suspects parts;
  core::suspect_rows rows;
  process* peer = nullptr;
  bool ready = false;
};

}  // namespace

// Counts were lost with the gateways, so that a request that crashes its
// targets was taken anew after each loss of all of them.
TEST_GROUP(SuspectRows) {
  fakes::virtual_time time;
  memory_store store;
  std::unique_ptr<process> current;

  void setup() override { StartAgain(); }
  /// Kills the process, and starts another.
  void StartAgain(bool cleans = true) {
    current.reset();
    current = std::make_unique<process>(time, store, cleans);
    time.Advance(kSecond / 10);
  }
  void Lose(const std::string& digest) const {
    current->requests.OnLost(digest, 1, false);
  }
  bool Refuses(const std::string& digest) const {
    return current->requests.RemainingRefusal(digest).count() > 0;
  }
};

TEST(SuspectRows, CountsOutliveALossOfAllBetweenAnyTwoCrashes) {
  for (int crashes = 1; crashes <= 3; ++crashes) {
    CHECK_FALSE(Refuses("bad"));
    Lose("bad");
    time.Advance(kSecond);
    StartAgain();
  }
  CHECK(Refuses("bad"));
  StartAgain();
  CHECK(Refuses("bad"));
  CHECK_EQUAL(3, store.CrashesOf("bad"));
}

TEST(SuspectRows, ACountIsWrittenOnceTheStoreIsBack) {
  store.down = true;
  for (int crashes = 0; crashes < 3; ++crashes) Lose("bad");
  time.Advance(20 * kSecond);
  CHECK(store.rows.empty());
  CHECK(store.writes < 12);
  store.down = false;
  time.Advance(10 * kSecond);
  StartAgain();
  CHECK(Refuses("bad"));
}

TEST(SuspectRows, AWriteWhoseAnswerIsLostIsMadeAgain) {
  store.down = store.applies_though_down = true;
  Lose("bad");
  time.Advance(kSecond);
  CHECK_EQUAL(1, store.CrashesOf("bad"));
  // The row may exist, so that it is removed.
  current->requests.OnAnswered("bad");
  store.down = false;
  time.Advance(10 * kSecond);
  CHECK(store.rows.empty());
}

TEST(SuspectRows, AStartDoesNotWaitForAStoreThatIsAway) {
  store.down = true;
  StartAgain();
  CHECK(current->ready);
  CHECK_FALSE(current->rows.loaded());
  Lose("other");
  store.down = false;
  store.rows["bad"] = R"({"crashes":3,"until_ms":0})";
  time.Advance(10 * kSecond);
  CHECK(Refuses("bad"));
  CHECK_EQUAL(1, store.CrashesOf("other"));
}

TEST(SuspectRows, TheStoresClockSaysHowLongARefusalLasts) {
  for (int crashes = 0; crashes < 3; ++crashes) Lose("bad");
  const common::duration at_first = current->requests.RemainingRefusal("bad");
  time.Advance(100 * kSecond);
  StartAgain();
  const common::duration left = current->requests.RemainingRefusal("bad");
  CHECK(left > common::duration(0));
  CHECK(left < at_first - 99 * kSecond);
}

TEST(SuspectRows, ARequestThatIsAnsweredSoonNeedsNoRow) {
  const int before = store.writes;
  Lose("sound");
  time.Advance(kSecond / 10);
  current->requests.OnAnswered("sound");
  time.Advance(30 * kSecond);
  CHECK_EQUAL(before, store.writes);
  LONGS_EQUAL(0, current->rows.size());
}

TEST(SuspectRows, AnAnswerOrTheEndOfASuspicionRemovesTheRow) {
  Lose("answered");
  Lose("expired");
  time.Advance(kSecond);
  CHECK_EQUAL(2, store.rows.size());
  current->requests.OnAnswered("answered");
  time.Advance(kSecond);
  CHECK_EQUAL(1, store.rows.size());
  time.Advance(150 * kSecond);
  CHECK(store.rows.empty());
  LONGS_EQUAL(0, current->rows.size());
}

TEST(SuspectRows, AnotherProcessThatSeesTheAnswerRemovesTheRow) {
  process other(time, store, false);
  time.Advance(kSecond);
  current->peer = &other;
  other.peer = current.get();
  Lose("sound");
  time.Advance(kSecond);
  CHECK_EQUAL(1, store.rows.size());
  // The process that wrote it is lost.
  other.peer = nullptr;
  StartAgain(false);
  other.requests.OnAnswered("sound");
  time.Advance(kSecond);
  CHECK(store.rows.empty());
}

TEST(SuspectRows, RowsThatLostProcessesLeftAreRemovedByOneOfTheOthers) {
  Lose("left");
  time.Advance(kSecond);
  StartAgain(false);
  store.rows["odd"] = "not a row";
  time.Advance(200 * kSecond);
  CHECK_EQUAL(2, store.rows.size());
  StartAgain(true);
  time.Advance(20 * kSecond);
  CHECK(store.rows.empty());
}

// A storm of lost targets: calls to the store are priced.
TEST(SuspectRows, ManyLossesAtOnceTakeFewCallsAndRows) {
  const int before = store.writes;
  for (int request = 0; request < 1500; ++request) {
    Lose("r" + std::to_string(request));
  }
  for (int crashes = 0; crashes < 3; ++crashes) Lose("bad");
  time.Advance(3 * kSecond);
  CHECK(store.writes - before <= 4);
  CHECK(store.rows.size() <= 110);
  CHECK_EQUAL(3, store.CrashesOf("bad"));
}

TEST(SuspectRows, NamesThatTheStoreMayRejectAreNotWritten) {
  const std::string long_name(300, 'x');
  for (const std::string& name : {std::string("\xff\xfe"), long_name}) {
    current->parts.NoteAnswer();
    current->parts.OnLost(core::PartDigest(name), 5, false);
  }
  Lose("bad");
  time.Advance(kSecond);
  CHECK_EQUAL(1, store.rows.size());
}

TEST(SuspectRows, AStopWritesWhatWaits) {
  Lose("bad");
  current->rows.WriteSoon();
  time.Advance(kSecond / 20);
  CHECK_EQUAL(1, store.CrashesOf("bad"));
}
