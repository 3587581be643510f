#include "core/lease/lease_keeper.h"

#include <algorithm>

#include "common/log.h"

namespace wisteriadale::core {
namespace {

constexpr int kTicksPerTerm = 6;
// Tokens of writes that may still take effect.
constexpr size_t kKeptTokens = 16;

}  // namespace

void lease_keeper::SetContending(bool contending) {
  contending_ = contending;
  if (tick_timer_ == 0) Tick();
}

void lease_keeper::Release() {
  const bool held = Held();
  released_ = true;
  contending_ = false;
  if (held) WriteRow(epoch_, "");
}

void lease_keeper::Tick() {
  tick_timer_ =
      timers_.Schedule(options_.term / kTicksPerTerm, [this] { Tick(); });
  if (busy_ || released_) return;
  if (Held()) {
    WriteRow(epoch_, options_.holder);
  } else if (contending_) {
    ReadRow();
  }
}

void lease_keeper::ReadRow() {
  busy_ = true;
  rows_.Read(
      options_.key, table_priority::kConfiguration,
      [this, alive = std::weak_ptr<bool>(alive_)](const table_result& answer) {
        if (alive.expired()) return;
        busy_ = false;
        OnRow(answer);
      });
}

void lease_keeper::OnRow(const table_result& answer) {
  const bool told = answer.status == table_status::kOk ||
                    answer.status == table_status::kConflict;
  if (!told) return;
  const common::time_point now = clock_.Now();
  if (!row_seen_ || answer.row.version != row_version_) {
    row_seen_ = true;
    row_version_ = answer.row.version;
    unchanged_since_ = now;
  }
  const lease_record record =
      DecodeLease(answer.row.value).value_or(lease_record());
  last_seen_holder_ = record.holder;
  // A write whose answer was lost, or that took effect late.
  if (sent_.contains(record.token) && record.holder == options_.holder) {
    Believe(record);
    if (Held()) return;
  }
  const common::duration term = std::max(record.term, options_.term);
  const bool free = row_version_ == 0 || record.holder.empty() ||
                    now - unchanged_since_ >= term;
  if (free && contending_ && !released_) {
    WriteRow(record.epoch + 1, options_.holder);
  }
}

void lease_keeper::WriteRow(uint64_t epoch, const std::string& holder) {
  lease_record record;
  record.holder = holder;
  record.token = random_.HexId();
  record.epoch = epoch;
  record.term = options_.term;
  if (sent_.size() >= kKeptTokens) {
    const auto oldest = std::min_element(
        sent_.begin(), sent_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    sent_.erase(oldest);
  }
  // The lease counts from before the write could take effect.
  sent_[record.token] = clock_.Now();
  busy_ = true;
  rows_.Write(options_.key, row_version_, EncodeLease(record),
              table_priority::kConfiguration,
              [this, record, alive = std::weak_ptr<bool>(alive_)](
                  const table_result& answer) {
                if (alive.expired()) return;
                busy_ = false;
                if (answer.status == table_status::kOk) {
                  row_version_ = answer.row.version;
                  unchanged_since_ = clock_.Now();
                  last_seen_holder_ = record.holder;
                  if (!record.holder.empty()) Believe(record);
                  return;
                }
                // Reading back tells whether the write took effect.
                if (!released_) ReadRow();
              });
}

void lease_keeper::Believe(const lease_record& record) {
  const auto sent = sent_.find(record.token);
  if (sent == sent_.end()) return;
  if (record.epoch != epoch_) {
    common::Log(common::log_channel::kOrders, common::log_level::kInfo,
                "holds " + options_.key + " under epoch " +
                    std::to_string(record.epoch));
  }
  epoch_ = record.epoch;
  valid_until_ = std::max(valid_until_, sent->second + options_.term * 2 / 3);
}

}  // namespace wisteriadale::core
