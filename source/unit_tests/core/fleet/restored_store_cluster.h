#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "core/fleet/fleet_sync.h"
#include "unit_tests/fakes/process_time.h"
#include "unit_tests/fakes/virtual_time.h"

namespace wisteriadale::fakes {

/// Decodes "VERSION TEXT" as routes and "STARTED SEQUENCE STATE" as a target.
class text_codec final : public core::deployment_codec {
 public:
  const core::header_names& headers() const override { return headers_; }
  const core::deployment_locations& locations() const override {
    return locations_;
  }
  std::optional<core::route_document> DecodeRoutes(
      std::string_view text) const override {
    core::route_document document;
    std::istringstream(std::string(text)) >> document.version;
    return document;
  }
  std::optional<core::target_entry> DecodeTarget(
      std::string_view id, std::string_view text) const override {
    core::target_entry entry;
    std::string state;
    uint64_t sequence = 0;
    std::istringstream(std::string(text)) >> entry.started_ms >> sequence >>
        state;
    entry.id = id;
    entry.service = "service";
    entry.address = id;
    entry.draining = state == "draining";
    return entry;
  }
  std::string_view stage_path() const override { return ""; }
  std::string EncodePieces(std::span<const core::piece_ref>,
                           common::time_point) const override {
    return "";
  }
  std::optional<std::vector<core::piece_result>> DecodePieces(
      std::string_view, size_t, std::string_view) const override {
    return std::nullopt;
  }
  std::string_view ProducerAddress(std::string_view) const override {
    return "";
  }
  bool IndicatesNotRun(int, bool) const override { return false; }
  bool PromisesNotRun(int) const override { return false; }
  bool IndicatesMisdirected(int) const override { return false; }
  bool IndicatesBackOff(int) const override { return false; }
  bool IndicatesMissingInputs(int, bool) const override { return false; }
  std::string_view release_path() const override { return ""; }
  std::string EncodeRelease(std::span<const std::string>) const override {
    return "";
  }

 private:
  core::header_names headers_;
  core::deployment_locations locations_ = {"op",  "config", "servers",
                                           "own", "",       ""};
};

/// A store that can be restored from an older copy of itself.
class restorable_store {
 public:
  explicit restorable_store(const virtual_time& time) : time_(time) {}

  void Set(const std::string& table, const std::string& key,
           const std::optional<std::string>& value) {
    copies_.push_back({time_.Now(), version_, rows_});
    if (copies_.size() > kMaxCopies) copies_.pop_front();
    rows_[{table, key}] = {key, value.value_or(""), ++version_,
                           !value.has_value()};
  }
  std::optional<std::string> Find(const std::string& table,
                                  const std::string& key) const {
    const auto found = rows_.find({table, key});
    if (found == rows_.end() || found->second.removed) return std::nullopt;
    return found->second.value;
  }
  /// Returns to what the store held so long ago.
  void Restore(common::duration age) {
    while (!copies_.empty() && copies_.back().until > time_.Now() - age) {
      rows_ = copies_.back().rows;
      version_ = copies_.back().version;
      copies_.pop_back();
    }
    ++era_;
  }
  core::row_store_result Read(const std::string& table,
                              std::optional<uint64_t> after) const {
    core::row_store_result result;
    result.at = {era_, version_};
    result.status = after && (*after > version_ || history_lost)
                        ? core::row_store_status::kCompacted
                        : core::row_store_status::kOk;
    if (result.status != core::row_store_status::kOk) {
      result.at.version = 0;
      return result;
    }
    for (const auto& [name, row] : rows_) {
      if (name.first != table || row.version <= after.value_or(0)) continue;
      if (!row.removed || after) result.rows.push_back(row);
    }
    return result;
  }

  bool down = false;
  bool history_lost = false;  ///< each read of changes fails

 private:
  struct copy {
    common::time_point until;
    uint64_t version;
    std::map<std::pair<std::string, std::string>, core::stored_row> rows;
  };
  static constexpr size_t kMaxCopies = 200;

  const virtual_time& time_;
  std::map<std::pair<std::string, std::string>, core::stored_row> rows_;
  uint64_t version_ = 0;
  uint64_t era_ = 1;
  std::deque<copy> copies_;
};

/// A gateway's connection to the store, with a random delay each way.
class store_client final : public core::row_store {
 public:
  store_client(restorable_store& store, virtual_time& time,
               process_time& process, common::seeded_random& random)
      : store_(store), time_(time), process_(process), random_(random) {}

  void ReadTable(std::string_view table,
                 core::row_store_handler handler) override {
    Call(std::string(table), std::nullopt, common::milliseconds(0), handler);
  }
  void ReadChanges(std::string_view table, uint64_t after,
                   common::milliseconds wait,
                   core::row_store_handler handler) override {
    Call(std::string(table), after, wait, handler);
  }
  void Write(std::string_view, std::span<const core::row_change>,
             core::row_store_handler) override {}

  bool cut = false;
  uint64_t calls = 0;

 private:
  static constexpr common::milliseconds kTimeout{800};
  static constexpr common::milliseconds kPoll{20};

  common::milliseconds Delay() {
    return common::milliseconds(1 + random_.Below(20));
  }
  void Call(const std::string& table, std::optional<uint64_t> after,
            common::milliseconds wait, const core::row_store_handler& handler) {
    ++calls;
    time_.Schedule(Delay(),
                   [this, table, after, handler, until = time_.Now() + wait] {
                     Serve(table, after, until, handler);
                   });
  }
  void Serve(const std::string& table, std::optional<uint64_t> after,
             common::time_point until, const core::row_store_handler& handler) {
    if (store_.down || cut) {
      process_.Schedule(cut ? kTimeout : Delay(),
                        [handler] { handler(core::row_store_result()); });
      return;
    }
    const core::row_store_result result = store_.Read(table, after);
    if (after && result.status == core::row_store_status::kOk &&
        result.rows.empty() && time_.Now() < until) {
      time_.Schedule(kPoll, [this, table, after, until, handler] {
        Serve(table, after, until, handler);
      });
      return;
    }
    process_.Schedule(Delay(), [handler, result] { handler(result); });
  }

  restorable_store& store_;
  virtual_time& time_;
  process_time& process_;
  common::seeded_random& random_;
};

/// A gateway that reads routes and targets from the store.
struct store_reader {
  store_reader(restorable_store& store, virtual_time& time,
               common::seeded_random& random)
      : process(time),
        client(store, time, process, random),
        sync(core::MakeSyncOptions(
                 common::milliseconds(2000), common::milliseconds(2000),
                 common::milliseconds(800), common::milliseconds(1200)),
             client, codec, routes, targets, process, process) {
    sync.Start();
  }

  bool Uses(const std::string& target) const {
    return targets.Find(target) != nullptr;
  }

  process_time process;
  store_client client;
  text_codec codec;
  core::route_holder routes;
  core::target_directory targets;
  core::fleet_sync sync;
};

}  // namespace wisteriadale::fakes
