#include "core/quarantine/suspect_rows.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr char kCrashes[] = "crashes";
constexpr char kUntilMs[] = "until_ms";
// Count of a row whose write may or may not have taken effect.
constexpr uint32_t kUnknownCount = std::numeric_limits<uint32_t>::max();
// Counts above this are not plausible.
constexpr uint32_t kMaxCrashes = 1'000'000;
constexpr uint32_t kMaxDoublings = 16;
// A key that the store rejects would fail all rows of its call.
constexpr size_t kMaxKeyBytes = 128;

/// @return whether a digest can be the key of a row: parts of prompts are named
/// by callers
bool IsStorable(std::string_view digest) {
  return digest.size() <= kMaxKeyBytes &&
         std::all_of(digest.begin(), digest.end(), [](char character) {
           return character > ' ' && character < 0x7f;
         });
}

struct decoded_row {
  uint32_t crashes = 0;
  int64_t until_ms = 0;  ///< by the store's clock; 0: not stated
};

/// @return nothing if the row is malformed
std::optional<decoded_row> Decode(std::string_view text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object() || !from.contains(kCrashes) ||
      !from[kCrashes].is_number_unsigned() || !from.contains(kUntilMs) ||
      !from[kUntilMs].is_number_integer()) {
    return std::nullopt;
  }
  const uint64_t crashes = from[kCrashes].get<uint64_t>();
  if (crashes == 0 || crashes > kMaxCrashes) return std::nullopt;
  return decoded_row{static_cast<uint32_t>(crashes),
                     from[kUntilMs].get<int64_t>()};
}

}  // namespace

void suspect_rows::Start(std::function<void()> on_ready) {
  on_ready_ = std::move(on_ready);
  timers_.Schedule(options_.max_start_delay, [this] { BecomeReady(); });
  timers_.Schedule(options_.sweep_period, [this] { Sweep(); });
  Load();
}

void suspect_rows::BecomeReady() {
  const std::function<void()> action = std::exchange(on_ready_, nullptr);
  if (action) action();
}

void suspect_rows::Load() {
  store_.ReadTable(
      table_, [this](const row_store_result& result) { OnLoaded(result); });
}

void suspect_rows::OnLoaded(const row_store_result& result) {
  const bool read = result.status == row_store_status::kOk;
  common::LogEvent(common::log_event::kSuspectsRead, "",
                   {{"read", read},
                    {"rows", static_cast<int64_t>(result.rows.size())},
                    {"attempt", int64_t{failures_} + 1}});
  if (!read) {
    timers_.Schedule(NextRetryDelay(), [this] { Load(); });
    BecomeReady();
    return;
  }
  if (result.clock) {
    store_clock_offset_ =
        common::duration(*result.clock) - clock_.Now().time_since_epoch();
  }
  for (const stored_row& each : result.rows) Restore(each);
  failures_ = 0;
  loaded_ = true;
  BecomeReady();
  ScheduleFlush();
}

void suspect_rows::Restore(const stored_row& read) {
  if (rows_.size() >= options_.max_rows && !rows_.contains(read.key)) return;
  row& known = rows_[read.key];
  const std::optional<decoded_row> decoded = Decode(read.value);
  // One that cannot be read has no count here, so that it is removed.
  known.stored = decoded ? decoded->crashes : kUnknownCount;
  if (!decoded) return;
  const crash_report report = {read.key, decoded->crashes};
  if (decoded->until_ms == 0 || !store_clock_offset_) {
    CountsOf(read.key).Merge(report);
    return;
  }
  const common::duration until =
      common::duration(common::milliseconds(decoded->until_ms)) -
      *store_clock_offset_;
  CountsOf(read.key).Restore(report, common::time_point(until));
}

void suspect_rows::OnChanged(const std::string& digest) {
  if (!IsStorable(digest)) return;
  const std::optional<crash_state> state = CountsOf(digest).StateOf(digest);
  if (!state && !rows_.contains(digest)) return;
  const bool first = state && state->crashes == 1;
  Schedule(digest, first ? options_.first_loss_delay : common::duration(0));
}

void suspect_rows::OnReportedElsewhere(const crash_report& report) {
  const auto found = rows_.find(report.digest);
  if (report.crashes > 0) {
    if (found != rows_.end() || !IsStorable(report.digest) ||
        rows_.size() >= options_.max_rows) {
      return;
    }
    // That process writes the row; this one removes it if it sees the answer.
    row& known = rows_[report.digest];
    known.stored = kUnknownCount;
    known.possible_from = clock_.Now();
    if (report.crashes == 1) known.possible_from += options_.first_loss_delay;
    return;
  }
  if (found == rows_.end()) return;
  // The process that saw the answer removes the rows of others.
  if (found->second.own || found->second.in_flight) {
    Schedule(report.digest, common::duration(0));
  } else {
    rows_.erase(found);
  }
}

void suspect_rows::WriteSoon() {
  for (auto& [digest, known] : rows_) known.at = clock_.Now();
  ScheduleFlush();
}

void suspect_rows::Schedule(const std::string& digest, common::duration delay) {
  if (rows_.size() >= options_.max_rows && !rows_.contains(digest)) {
    common::Metrics().Count("wisteria_suspect_rows_not_kept_total");
    return;
  }
  row& known = rows_[digest];
  const common::time_point at = clock_.Now() + delay;
  known.at = known.due ? std::min(known.at, at) : at;
  known.due = true;
  ScheduleFlush();
}

void suspect_rows::ScheduleFlush() {
  if (!loaded_ || calling_) return;
  std::optional<common::time_point> next;
  for (const auto& [digest, known] : rows_) {
    if (known.due && (!next || known.at < *next)) next = known.at;
  }
  timers_.Cancel(std::exchange(flush_timer_, 0));
  if (!next) return;
  const common::duration delay =
      std::max({*next, next_call_, clock_.Now()}) - clock_.Now();
  flush_timer_ = timers_.Schedule(delay, [this] {
    flush_timer_ = 0;
    Flush();
  });
}

void suspect_rows::Flush() {
  std::vector<row_change> changes;
  first_losses_ = CountFirstLosses();
  // A suspect with several losses is more likely to be to blame.
  CollectChanges(true, &changes);
  CollectChanges(false, &changes);
  if (changes.empty()) {
    ScheduleFlush();
    return;
  }
  calling_ = true;
  next_call_ = clock_.Now() + options_.min_write_interval;
  common::Metrics().Count("wisteria_suspect_rows_written_total", {},
                          changes.size());
  store_.Write(table_, changes, [this, changes](const row_store_result& done) {
    OnWritten(changes, done);
  });
}

void suspect_rows::CollectChanges(bool only_repeated,
                                  std::vector<row_change>* changes) {
  const common::time_point now = clock_.Now();
  for (auto each = rows_.begin();
       each != rows_.end() && changes->size() < kMaxRowChanges;) {
    const std::string& digest = each->first;
    row& known = each->second;
    if (!known.due || known.at > now) {
      ++each;
      continue;
    }
    const std::optional<crash_state> state = CountsOf(digest).StateOf(digest);
    if (only_repeated && (!state || state->crashes < 2)) {
      ++each;
      continue;
    }
    known.due = false;
    std::optional<row_change> change = ChangeOf(digest, &known);
    if (change) {
      known.in_flight = true;
      changes->push_back(std::move(*change));
    }
    const bool forgotten = !state && !change;
    each = forgotten ? rows_.erase(each) : std::next(each);
  }
}

std::optional<row_change> suspect_rows::ChangeOf(const std::string& digest,
                                                 row* known) {
  const std::optional<crash_state> state = CountsOf(digest).StateOf(digest);
  if (!state) {
    const bool may_exist =
        known->stored != 0 && clock_.Now() >= known->possible_from;
    if (!may_exist) return std::nullopt;
    return row_change{digest, std::nullopt};
  }
  if (state->crashes == known->stored) return std::nullopt;
  if (state->crashes == 1 && ++first_losses_ > options_.max_first_losses) {
    common::Metrics().Count("wisteria_suspect_rows_not_kept_total");
    return std::nullopt;
  }
  return row_change{digest, Encode(*state)};
}

size_t suspect_rows::CountFirstLosses() const {
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [](const auto& each) {
        return each.second.own && each.second.stored == 1;
      }));
}

void suspect_rows::OnWritten(const std::vector<row_change>& changes,
                             const row_store_result& result) {
  calling_ = false;
  const bool written = result.status == row_store_status::kOk;
  common::LogEvent(common::log_event::kSuspectsWritten, "",
                   {{"written", written},
                    {"rows", static_cast<int64_t>(changes.size())},
                    {"failures", int64_t{failures_}}});
  const common::time_point now = clock_.Now();
  if (written) {
    failures_ = 0;
  } else {
    next_call_ = now + NextRetryDelay();
  }
  for (const row_change& change : changes) {
    const auto found = rows_.find(change.key);
    if (found == rows_.end()) continue;
    row& known = found->second;
    known.in_flight = false;
    if (!written) {
      if (result.status == row_store_status::kNoResponse) {
        known.stored = kUnknownCount;
      }
      known.at = now;
      known.due = true;
      continue;
    }
    if (!change.value) {
      known.stored = 0;
      if (!known.due) rows_.erase(found);
      continue;
    }
    const std::optional<decoded_row> stored = Decode(*change.value);
    known.stored = stored ? stored->crashes : kUnknownCount;
    known.own = true;
  }
  ScheduleFlush();
}

void suspect_rows::Sweep() {
  timers_.Schedule(options_.sweep_period, [this] { Sweep(); });
  const bool cleans_for_others = cleans_for_others_();
  for (auto each = rows_.begin(); each != rows_.end();) {
    row& known = each->second;
    const bool waits = known.due || known.in_flight ||
                       CountsOf(each->first).StateOf(each->first).has_value();
    if (!waits && !known.own && !cleans_for_others) {
      each = rows_.erase(each);
      continue;
    }
    if (!waits) {
      known.due = true;
      known.at = clock_.Now();
    }
    ++each;
  }
  ScheduleFlush();
}

common::duration suspect_rows::NextRetryDelay() {
  const uint32_t doublings = std::min(failures_++, kMaxDoublings);
  return std::min(options_.retry_delay * (int64_t{1} << doublings),
                  options_.max_retry_delay);
}

std::string suspect_rows::Encode(const crash_state& state) const {
  int64_t until_ms = 0;
  if (store_clock_offset_) {
    until_ms =
        common::ToMillis(common::duration(state.until.time_since_epoch()) +
                         *store_clock_offset_);
  }
  return json{{kCrashes, state.crashes}, {kUntilMs, until_ms}}.dump();
}

}  // namespace wisteriadale::core
