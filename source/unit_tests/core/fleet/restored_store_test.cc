#include <array>
#include <cstdlib>
#include <set>

#include "unit_tests/core/fleet/restored_store_cluster.h"

// Last, as its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep{50};
constexpr milliseconds kHeartbeat{1200};
// Time for new routes, and for leaving targets, to take effect.
constexpr milliseconds kLimit{2000};
// The limits hold for gateways and a store that have been undisturbed for so
// long.
constexpr seconds kContact{3};
// Delays of what a gateway tells the others that it has read.
constexpr uint64_t kMaxRelayDelayMs = 30;
constexpr uint64_t kMaxSlowRelayDelayMs = 2000;
// Clocks of two gateways show times this far apart.
constexpr seconds kClockSkew{1000};
// Instead of kContact, for entries that changed before the store was stable:
// the stated limits do not apply to those.
constexpr seconds kUnstableContact{6};
// After an outage, the store takes so long to remove what has expired.
constexpr seconds kSweep{1};
constexpr size_t kMaxToldDepartures = 256;
constexpr uint64_t kMaxCallsPerSecond = 20;

enum class target_state { kRunning, kDraining, kGone };

uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// A target that writes its entry at its start, on changes, and if it is
/// missing.
struct simulated_target {
  int64_t started_ms = 1;
  uint64_t sequence = 0;
  target_state state = target_state::kRunning;
  common::time_point next_beat{};
  common::time_point last_beat{};
  common::time_point ends{};     ///< when a draining target is gone
  bool says_ready = false;       ///< by its entry in the store
  common::time_point left_at{};  ///< when its entry ceased to say so
  bool left_stable = false;      ///< while the store was stable
};

struct simulated_gateway {
  std::shared_ptr<fakes::store_reader> reader;
  common::time_point disturbed{};  ///< latest cut, pause or start
  common::time_point resumes{};
  common::time_point connected{};
  core::routes_edition edition;
  std::map<std::string, int64_t> used;             ///< starts of used targets
  std::set<std::pair<std::string, int64_t>> left;  ///< no longer used
  uint64_t calls = 0;
  core::statement_clock statement_clock;
  bool cut_from_gateways = false;
};

/// How gateways learn what is in the store.
enum class reading {
  kEachForItself,
  kOneForAll  ///< one gateway, another one from time to time, tells the others
};

/// Targets, an operator and gateways around a store that is away at times, and
/// restored from copies, under virtual time.
class simulation {
 public:
  simulation(uint64_t seed, reading how)
      : random_(seed), how_(how), store_(time_) {
    for (size_t i = 0; i < 6; ++i) StartTarget("t" + std::to_string(i));
    WriteRoutes(true);
    for (simulated_gateway& each : gateways_) StartGateway(&each);
    calm_since_ = time_.Now();
  }

  void Run(seconds length) {
    const common::time_point end = time_.Now() + length;
    for (int step = 1; time_.Now() < end && failure.empty(); ++step) {
      time_.Advance(kStep);
      if (Chance(60)) DisturbStore();
      if (Chance(40)) DisturbGateway();
      // For a while two gateways may take themselves for the reader.
      if (Chance(100)) previous_reader_ = reader_;
      if (Chance(100)) reader_ = random_.Below(gateways_.size());
      if (down_until_ && time_.Now() >= *down_until_) ReturnStore();
      if (!store_.down) RunOutside();
      for (simulated_gateway& each : gateways_) RunGateway(&each, step);
    }
  }

  std::string failure;

 private:
  bool Chance(uint64_t one_in) { return random_.Below(one_in) == 0; }
  milliseconds Between(uint64_t least, uint64_t most) {
    return milliseconds(least + random_.Below(most - least));
  }

  void StartTarget(const std::string& id) {
    const int64_t started = targets_[id].started_ms + 1;
    targets_[id] = simulated_target();
    targets_[id].started_ms = started;
    targets_[id].next_beat = time_.Now();
  }

  void StartGateway(simulated_gateway* gateway) {
    if (gateway->reader) {
      gateway->reader->process.Kill();
      killed_.push_back(gateway->reader);
    }
    *gateway = simulated_gateway();
    gateway->reader =
        std::make_shared<fakes::store_reader>(store_, time_, random_);
    gateway->disturbed = time_.Now();
    gateway->reader->targets.SetLeavingHandler(
        [this, reader = gateway->reader.get()](const core::fleet_target& target,
                                               core::leaving_reason why) {
          TellOthers(*reader, {target.entry.id, target.entry.started_ms}, why);
        });
    gateway->reader->sync.SetReadHandler(
        [this, gateway](const core::store_read& read,
                        common::time_point read_at) {
          RelayRead(*gateway, read, read_at);
        });
    gateway->reader->sync.SetRoutesHandler(
        [this, gateway] { AnnounceRoutes(*gateway); });
    for (const simulated_gateway& each : gateways_) {
      if (!each.reader || each.reader == gateway->reader) continue;
      const core::departed_targets departed =
          each.reader->targets.RecentDepartures(kMaxToldDepartures);
      gateway->reader->process.Schedule(
          milliseconds(50), [to = gateway->reader.get(), departed] {
            to->sync.ApplyLeavingTargets(departed.leaving, departed.gone);
          });
    }
  }

  bool IsReader(const simulated_gateway& gateway) const {
    const size_t index = static_cast<size_t>(&gateway - gateways_.data());
    return index == reader_ || index == previous_reader_;
  }

  bool Linked(const simulated_gateway& from,
              const simulated_gateway& to) const {
    return &from != &to && to.reader && !from.cut_from_gateways &&
           !to.cut_from_gateways;
  }

  void RelayRead(const simulated_gateway& from, const core::store_read& read,
                 common::time_point read_at) {
    if (how_ != reading::kOneForAll || !IsReader(from)) return;
    for (simulated_gateway& each : gateways_) {
      if (!Linked(from, each)) continue;
      const uint64_t max_delay =
          Chance(20) ? kMaxSlowRelayDelayMs : kMaxRelayDelayMs;
      each.reader->process.Schedule(
          Between(1, max_delay),
          [this, to = &each, target = each.reader.get(), read,
           name = std::to_string(&from - gateways_.data()),
           stated = read_at + kClockSkew] {
            const common::time_point as_of = to->statement_clock.WhenStated(
                name, stated, target->process.Now());
            if (!IsReader(*to)) target->sync.ApplyRelayedRead(read, as_of);
          });
    }
  }

  void AnnounceRoutes(const simulated_gateway& from) {
    for (const simulated_gateway& each : gateways_) {
      if (!Linked(from, each)) continue;
      each.reader->process.Schedule(
          milliseconds(5),
          [to = each.reader.get(), edition = from.reader->routes.edition()] {
            to->sync.OnRoutesAnnounced(edition);
          });
    }
  }

  /// Gateways tell each other about leaving targets, over links that are not
  /// cut.
  void TellOthers(const fakes::store_reader& from,
                  const core::target_start& start, core::leaving_reason why) {
    std::vector<core::target_start> draining;
    std::vector<core::target_start> gone;
    if (why == core::leaving_reason::kDraining) {
      draining.push_back(start);
    } else if (why == core::leaving_reason::kGone &&
               !from.sync.store_failing()) {
      gone.push_back(start);
    }
    for (const simulated_gateway& each : gateways_) {
      if (!each.reader || each.reader.get() == &from) continue;
      each.reader->process.Schedule(
          milliseconds(5), [to = each.reader.get(), draining, gone] {
            to->sync.ApplyLeavingTargets(draining, gone);
          });
    }
  }

  void WriteRoutes(bool next) {
    if (next) version_ += 1 + random_.Below(3);
    routes_text_ =
        std::to_string(version_) + " text" + std::to_string(++texts_);
    store_.Set("op", "config", routes_text_);
    routes_written_ = time_.Now();
  }

  void DisturbStore() {
    if (down_until_) return;
    store_.down = true;
    down_until_ = time_.Now() + Between(50, 3000);
  }

  void ReturnStore() {
    store_.down = false;
    down_until_.reset();
    calm_since_ = time_.Now();
    if (Chance(3)) {
      for (auto& [id, target] : targets_) ExpireWhileDown(id, &target);
      return;
    }
    store_.Restore(Between(500, 9000));
    operator_returns_ = time_.Now() + Between(0, 1000);
    for (auto& [id, target] : targets_) target.last_beat = time_.Now();
  }

  /// An entry that expired while the store was away is back within 2 s.
  void ExpireWhileDown(const std::string& id, simulated_target* target) {
    if (target->state == target_state::kGone ||
        time_.Now() - target->last_beat <= 3 * kHeartbeat) {
      return;
    }
    store_.Set("servers", id, std::nullopt);
    target->next_beat = time_.Now() + Between(0, 1900);
    target->last_beat = time_.Now();
  }

  void DisturbGateway() {
    simulated_gateway& gateway = gateways_[random_.Below(gateways_.size())];
    gateway.disturbed = time_.Now();
    switch (random_.Below(4)) {
      case 0:
        gateway.reader->client.cut = true;
        gateway.cut_from_gateways = Chance(2);
        gateway.connected = time_.Now() + Between(200, 6000);
        break;
      case 1:
        gateway.reader->process.Pause();
        gateway.resumes = time_.Now() + Between(200, 6000);
        break;
      case 2:
        if (Chance(4)) StartGateway(&gateway);
        break;
      default:
        break;
    }
  }

  /// What the operator and the targets write.
  void RunOutside() {
    if (operator_returns_ && time_.Now() >= *operator_returns_) {
      operator_returns_.reset();
      if (store_.Find("op", "config") != routes_text_) {
        // An operator that reads the copy may give a lost number out again.
        if (Chance(2)) {
          WriteRoutes(false);
        } else {
          store_.Set("op", "config", routes_text_);
          routes_written_ = time_.Now();
        }
      }
    } else if (!operator_returns_ && Chance(30)) {
      WriteRoutes(true);
    }
    if (Chance(25)) ChangeTarget();
    for (auto& [id, target] : targets_) RunTarget(id, &target);
  }

  void ChangeTarget() {
    if (Chance(3)) {
      StartTarget("n" + std::to_string(++started_));
      return;
    }
    auto chosen = targets_.begin();
    std::advance(chosen, random_.Below(targets_.size()));
    simulated_target& target = chosen->second;
    if (target.state == target_state::kGone) {
      if (Chance(4)) StartTarget(chosen->first);
    } else if (target.state == target_state::kRunning && Chance(2)) {
      target.state = target_state::kDraining;
      target.next_beat = time_.Now();
      target.ends = time_.Now() + Between(2500, 6000);
    } else if (target.state == target_state::kRunning) {
      Leave(chosen->first, &target);
    }
  }

  void Leave(const std::string& id, simulated_target* target) {
    target->state = target_state::kGone;
    store_.Set("servers", id, std::nullopt);
  }

  void RunTarget(const std::string& id, simulated_target* target) {
    if (target->state == target_state::kDraining &&
        time_.Now() >= target->ends) {
      Leave(id, target);
    }
    if (target->state != target_state::kGone &&
        time_.Now() >= target->next_beat) {
      target->next_beat = time_.Now() + kHeartbeat;
      target->last_beat = time_.Now();
      ++target->sequence;
      if (!InStore(id, *target)) {
        store_.Set("servers", id,
                   std::to_string(target->started_ms) + " " +
                       std::to_string(target->sequence) + " " + State(*target));
      }
    }
    if (store_.Find("servers", id) &&
        time_.Now() - target->last_beat > 3 * kHeartbeat &&
        time_.Now() - calm_since_ > kSweep) {
      store_.Set("servers", id, std::nullopt);
    }
    // A copy may say ready of a target that is not.
    const std::optional<std::string> text = store_.Find("servers", id);
    const bool says_ready = text && text->ends_with("ready");
    if (!says_ready && target->says_ready) {
      target->left_at = time_.Now();
      target->left_stable = time_.Now() - calm_since_ > kContact;
    }
    target->says_ready = says_ready;
  }

  static std::string State(const simulated_target& target) {
    return target.state == target_state::kDraining ? "draining" : "ready";
  }
  /// @return whether the store has the entry, but for its sequence
  bool InStore(const std::string& id, const simulated_target& target) const {
    const std::optional<std::string> text = store_.Find("servers", id);
    return text && text->starts_with(std::to_string(target.started_ms) + " ") &&
           text->ends_with(" " + State(target));
  }

  void RunGateway(simulated_gateway* gateway, int step) {
    fakes::store_reader& reader = *gateway->reader;
    if (reader.process.paused()) {
      gateway->disturbed = time_.Now();
      if (time_.Now() < gateway->resumes) return;
      reader.process.Resume();
      gateway->calls = reader.client.calls;
    }
    if (reader.client.cut) {
      gateway->disturbed = time_.Now();
      if (time_.Now() >= gateway->connected) {
        reader.client.cut = false;
        gateway->cut_from_gateways = false;
      }
    }
    if (step % (seconds(1) / kStep) == 0) {
      if (reader.client.calls - gateway->calls > kMaxCallsPerSecond) {
        failure = "calls in a second: " +
                  std::to_string(reader.client.calls - gateway->calls);
      }
      gateway->calls = reader.client.calls;
    }
    CheckRoutes(gateway);
    CheckTargets(gateway);
  }

  bool Calm(const simulated_gateway& gateway, common::duration length) const {
    return !store_.down && time_.Now() - calm_since_ > length &&
           time_.Now() - gateway.disturbed > length;
  }

  void CheckRoutes(simulated_gateway* gateway) {
    const fakes::store_reader& reader = *gateway->reader;
    if (reader.routes.edition() < gateway->edition) {
      failure = "routes went back";
    }
    gateway->edition = reader.routes.edition();
    if (!Calm(*gateway, kContact) || operator_returns_ ||
        time_.Now() - routes_written_ <= kLimit) {
      return;
    }
    if (reader.sync.routes_text() != routes_text_) {
      failure = "routes " + reader.sync.routes_text() +
                " are in force rather than " + routes_text_;
    }
  }

  void CheckTargets(simulated_gateway* gateway) {
    const fakes::store_reader& reader = *gateway->reader;
    for (const auto& [id, target] : targets_) {
      const std::shared_ptr<core::fleet_target> found = reader.targets.Find(id);
      const bool uses =
          found != nullptr && found->entry.started_ms == target.started_ms;
      const std::pair<std::string, int64_t> start(id, target.started_ms);
      const auto used = gateway->used.find(id);
      const bool used_before =
          used != gateway->used.end() && used->second == target.started_ms;
      if (uses && gateway->left.contains(start)) {
        failure = id + " is used again after it left";
      }
      if (used_before && !uses) {
        if (target.state != target_state::kRunning) {
          gateway->left.insert(start);
        } else if (time_.Now() - gateway->disturbed > kContact) {
          failure = id + " is not used any more, though it runs";
        }
      }
      if (uses) {
        gateway->used[id] = target.started_ms;
      } else {
        gateway->used.erase(id);
      }
      const bool has_left = target.state != target_state::kRunning &&
                            !target.says_ready &&
                            time_.Now() - target.left_at > kLimit;
      const common::duration in_touch =
          target.left_stable ? kContact : kUnstableContact;
      if (found != nullptr && has_left && Calm(*gateway, in_touch)) {
        failure = id + " is still used after it left";
      }
      if (!uses && target.state == target_state::kRunning &&
          Calm(*gateway, seconds(8)) && InStore(id, target) &&
          time_.Now() - target.last_beat < kHeartbeat && target.sequence > 7) {
        failure = id + " is not used";
      }
      if (!failure.empty()) return;
    }
  }

  fakes::virtual_time time_;
  common::seeded_random random_;
  reading how_;
  size_t reader_ = 0;  ///< index of the gateway that reads for the others
  size_t previous_reader_ = 0;
  fakes::restorable_store store_;
  std::map<std::string, simulated_target> targets_;
  std::array<simulated_gateway, 4> gateways_;
  std::vector<std::shared_ptr<fakes::store_reader>> killed_;
  uint64_t version_ = 0;
  uint64_t texts_ = 0;
  uint64_t started_ = 0;
  std::string routes_text_;
  common::time_point routes_written_{};
  std::optional<common::time_point> operator_returns_;
  std::optional<common::time_point> down_until_;
  common::time_point calm_since_{};  ///< return of the store
};

}  // namespace

TEST_GROUP(RestoredStore){};

// By hand: WISTERIA_SEED is the first seed, WISTERIA_SEEDS the number of seeds.
TEST(RestoredStore, GatewaysFollowTheOperatorAndTheTargets) {
  const uint64_t first = FromEnvironment("WISTERIA_SEED", 1);
  const uint64_t seeds = FromEnvironment("WISTERIA_SEEDS", 60);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    simulation run(seed, reading::kEachForItself);
    run.Run(seconds(60));
    CHECK_TEXT(run.failure.empty(),
               ("seed " + std::to_string(seed) + ": " + run.failure).c_str());
  }
}

// The same bounds hold where one gateway reads for the others.
TEST(RestoredStore, GatewaysFollowWhatOneOfThemReads) {
  const uint64_t first = FromEnvironment("WISTERIA_SEED", 1);
  const uint64_t seeds = FromEnvironment("WISTERIA_SEEDS", 60);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    simulation run(seed, reading::kOneForAll);
    run.Run(seconds(60));
    CHECK_TEXT(run.failure.empty(),
               ("seed " + std::to_string(seed) + ": " + run.failure).c_str());
  }
}

TEST(RestoredStore, ALostHistoryIsReadAgainWithPauses) {
  fakes::virtual_time time;
  common::seeded_random random(1);
  fakes::restorable_store store(time);
  store.Set("op", "config", "1 text");
  store.history_lost = true;
  fakes::store_reader reader(store, time, random);
  time.Advance(seconds(10));
  CHECK(reader.client.calls <= 10 * kMaxCallsPerSecond);
  store.history_lost = false;
  store.Set("op", "config", "2 text");
  time.Advance(kLimit);
  LONGS_EQUAL(2, reader.routes.edition().version);
}
