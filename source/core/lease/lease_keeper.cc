#include "core/lease/lease_keeper.h"

#include <algorithm>

#include "common/log.h"

namespace wisteriadale::core {
namespace {

// Renewals by the holder, or reads by a contender.
constexpr int kRenewalsPerTerm = 6;
// Tokens of own writes that may still take effect.
constexpr size_t kMaxKeptTokens = 16;

}  // namespace

void lease_keeper::SetContending(bool contending) {
  contending_ = contending;
  if (renewal_timer_ == 0) RenewOrRead();
}

void lease_keeper::Release() {
  const bool held = Held();
  released_ = true;
  contending_ = false;
  if (held) WriteRow(epoch_, "");
}

void lease_keeper::RenewOrRead() {
  renewal_timer_ = timers_.Schedule(options_.term / kRenewalsPerTerm,
                                    [this] { RenewOrRead(); });
  if (call_in_progress_ || released_) return;
  if (Held()) {
    WriteRow(epoch_, options_.holder);
  } else if (contending_) {
    ReadRow();
  }
}

void lease_keeper::ReadRow() {
  call_in_progress_ = true;
  rows_.Read(
      options_.key, table_priority::kConfiguration,
      [this, alive = std::weak_ptr<bool>(alive_)](const table_result& result) {
        if (alive.expired()) return;
        call_in_progress_ = false;
        OnRowRead(result);
      });
}

void lease_keeper::OnRowRead(const table_result& result) {
  const bool row_known = result.status == table_status::kOk ||
                         result.status == table_status::kConflict;
  if (!row_known) return;
  const common::time_point now = clock_.Now();
  if (!row_read_ || result.row.version != row_version_) {
    row_read_ = true;
    row_version_ = result.row.version;
    unchanged_since_ = now;
  }
  const lease_record record =
      DecodeLease(result.row.value).value_or(lease_record());
  last_seen_holder_ = record.holder;
  // An own write whose answer was lost, or that took effect late.
  if (sent_writes_.contains(record.token) && record.holder == options_.holder) {
    ExtendValidity(record);
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
  if (sent_writes_.size() >= kMaxKeptTokens) {
    const auto oldest = std::min_element(
        sent_writes_.begin(), sent_writes_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    sent_writes_.erase(oldest);
  }
  // Validity counts from before the write could take effect.
  sent_writes_[record.token] = clock_.Now();
  call_in_progress_ = true;
  rows_.Write(options_.key, row_version_, EncodeLease(record),
              table_priority::kConfiguration,
              [this, record, alive = std::weak_ptr<bool>(alive_)](
                  const table_result& result) {
                if (alive.expired()) return;
                call_in_progress_ = false;
                if (result.status == table_status::kOk) {
                  row_version_ = result.row.version;
                  unchanged_since_ = clock_.Now();
                  last_seen_holder_ = record.holder;
                  if (!record.holder.empty()) ExtendValidity(record);
                  return;
                }
                // Reading the row back shows whether the write took effect.
                if (!released_) ReadRow();
              });
}

void lease_keeper::ExtendValidity(const lease_record& record) {
  const auto sent = sent_writes_.find(record.token);
  if (sent == sent_writes_.end()) return;
  if (record.epoch != epoch_) {
    common::Log(common::log_channel::kOrders, common::log_level::kInfo,
                "acquired " + options_.key + " with epoch " +
                    std::to_string(record.epoch));
  }
  epoch_ = record.epoch;
  valid_until_ = std::max(valid_until_, sent->second + options_.term * 2 / 3);
}

}  // namespace wisteriadale::core
