#include "core/configuration/configuration_store.h"

#include <map>
#include <nlohmann/json.hpp>

#include "common/digest.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr char kHeadKey[] = "configuration/head";
constexpr char kHistoryPrefix[] = "configuration/history/";
constexpr size_t kRecentEntries = 64;  ///< previous entries in the head row
constexpr int kVersionDigits = 12;
/// Delay before the head row is read back after a write without a response.
constexpr common::duration kReadBackDelay = std::chrono::milliseconds(200);
/// Time from the start of an apply after which reading back is given up.
constexpr common::duration kReadBackTimeout = std::chrono::seconds(3);

std::string ObjectName(const std::string& digest) {
  return "configuration/" + digest;
}

/// @return key of a history row; keys of newer versions sort first
std::string HistoryKey(uint64_t version) {
  constexpr uint64_t kMaxVersion = 999999999999;
  std::string digits = std::to_string(kMaxVersion - version);
  digits.insert(0, kVersionDigits - digits.size(), '0');
  return kHistoryPrefix + digits;
}

json ToJson(const configuration_entry& entry) {
  return {{"version", entry.version}, {"token", entry.token},
          {"digest", entry.digest},   {"preset", entry.preset},
          {"who", entry.author},      {"wall_us", entry.wall_us}};
}

configuration_entry ParseEntry(const json& from) {
  configuration_entry entry;
  if (!from.is_object()) return entry;
  entry.version = from.value("version", uint64_t{0});
  entry.token = from.value("token", "");
  entry.digest = from.value("digest", "");
  entry.preset = from.value("preset", "");
  entry.author = from.value("who", "");
  entry.wall_us = from.value("wall_us", int64_t{0});
  return entry;
}

std::optional<configuration_head> ParseHead(const table_result& result) {
  const bool answered = result.status == table_status::kOk ||
                        result.status == table_status::kConflict;
  if (!answered) return std::nullopt;
  configuration_head head;
  if (result.row.version == 0) return head;
  const json value = json::parse(result.row.value, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  head.entry = ParseEntry(value);
  head.entry.version = result.row.version;
  for (const json& previous : value.value("recent", json::array())) {
    head.recent.push_back(ParseEntry(previous));
  }
  return head;
}

const configuration_entry* FindToken(const configuration_head& head,
                                     const std::string& token) {
  if (head.entry.token == token) return &head.entry;
  for (const configuration_entry& previous : head.recent) {
    if (previous.token == token) return &previous;
  }
  return nullptr;
}

}  // namespace

struct configuration_store::pending_apply {
  apply_request request;
  configuration_entry entry;
  apply_handler handler;
  common::time_point deadline;
};

void configuration_store::ReadHead(head_handler handler) {
  rows_.Read(kHeadKey, table_priority::kConfiguration,
             [handler = std::move(handler)](const table_result& result) {
               handler(ParseHead(result));
             });
}

void configuration_store::ReadDocument(const std::string& digest,
                                       document_handler handler) {
  objects_.Get(ObjectName(digest), [digest, handler = std::move(handler)](
                                       std::optional<std::string> document) {
    if (document && common::Sha256Hex(*document) != digest) {
      document.reset();
    }
    handler(std::move(document));
  });
}

void configuration_store::Apply(apply_request request,
                                const std::string& preset,
                                apply_handler handler) {
  const std::shared_ptr<pending_apply> apply =
      std::make_shared<pending_apply>();
  if (request.token.empty()) request.token = random_.HexId();
  apply->request = std::move(request);
  apply->handler = std::move(handler);
  apply->deadline = clock_.Now() + kReadBackTimeout;
  apply->entry.version = apply->request.expected_version + 1;
  apply->entry.token = apply->request.token;
  apply->entry.digest = common::Sha256Hex(apply->request.document);
  apply->entry.preset = preset;
  apply->entry.author = apply->request.author;
  apply->entry.wall_us = clock_.WallMicros();
  objects_.Put(ObjectName(apply->entry.digest), apply->request.document,
               [this, apply](bool stored) {
                 if (stored) {
                   WriteHead(apply);
                   return;
                 }
                 apply_result result;
                 result.token = apply->request.token;
                 result.status = apply_status::kUnknown;
                 result.reason =
                     "the object store does not respond; nothing was changed";
                 apply->handler(result);
               });
}

void configuration_store::WriteHead(
    const std::shared_ptr<pending_apply>& apply) {
  ReadHead([this, apply](const std::optional<configuration_head>& head) {
    if (!head || head->entry.version != apply->request.expected_version) {
      OnReadBack(apply, head);
      return;
    }
    json value = ToJson(apply->entry);
    value["recent"] = json::array();
    if (head->entry.version > 0) value["recent"].push_back(ToJson(head->entry));
    for (const configuration_entry& previous : head->recent) {
      if (value["recent"].size() >= kRecentEntries) break;
      value["recent"].push_back(ToJson(previous));
    }
    rows_.Write(kHeadKey, apply->request.expected_version, value.dump(),
                table_priority::kConfiguration,
                [this, apply](const table_result& result) {
                  OnHeadWritten(apply, result);
                });
  });
}

void configuration_store::OnHeadWritten(
    const std::shared_ptr<pending_apply>& apply, const table_result& result) {
  if (result.status == table_status::kOk) {
    Accept(apply);
  } else if (result.status == table_status::kConflict) {
    OnReadBack(apply, ParseHead(result));
  } else {
    ScheduleReadBack(apply);
  }
}

void configuration_store::ScheduleReadBack(
    const std::shared_ptr<pending_apply>& apply) {
  timers_.Schedule(kReadBackDelay, [this, apply] {
    ReadHead([this, apply](const std::optional<configuration_head>& head) {
      OnReadBack(apply, head);
    });
  });
}

void configuration_store::OnReadBack(
    const std::shared_ptr<pending_apply>& apply,
    const std::optional<configuration_head>& head) {
  if (head && FindToken(*head, apply->request.token) != nullptr) {
    Accept(apply);
    return;
  }
  apply_result result;
  result.token = apply->request.token;
  if (head && head->entry.version != apply->request.expected_version) {
    result.status = apply_status::kSuperseded;
    result.superseded_by = head->entry;
    result.version = head->entry.version;
    result.reason =
        "version " + std::to_string(head->entry.version) + " by " +
        (head->entry.author.empty() ? "unknown" : head->entry.author) +
        " is in force";
    apply->handler(result);
    return;
  }
  if (clock_.Now() < apply->deadline) {
    ScheduleReadBack(apply);
    return;
  }
  result.status = head ? apply_status::kPending : apply_status::kUnknown;
  result.reason = "it is unknown whether the table will accept the write";
  apply->handler(result);
}

void configuration_store::Accept(const std::shared_ptr<pending_apply>& apply) {
  apply_result result;
  result.status = apply_status::kAccepted;
  result.token = apply->request.token;
  result.version = apply->entry.version;
  apply->handler(result);
  WriteHistory(apply->entry);
}

void configuration_store::WriteHistory(const configuration_entry& entry) {
  // If this write fails, the recent entries of the head row still have the
  // entry.
  rows_.Write(HistoryKey(entry.version), 0, ToJson(entry).dump(),
              table_priority::kOther, [](const table_result&) {});
}

void configuration_store::FindApply(const std::string& token,
                                    uint64_t expected_version,
                                    apply_handler handler) {
  ReadHead([token, expected_version, handler = std::move(handler)](
               const std::optional<configuration_head>& head) {
    apply_result result;
    result.token = token;
    if (!head) {
      result.reason = "the table does not respond";
      handler(result);
      return;
    }
    const configuration_entry* found = FindToken(*head, token);
    const uint64_t oldest = head->recent.empty() ? head->entry.version
                                                 : head->recent.back().version;
    if (found != nullptr) {
      result.status = apply_status::kAccepted;
      result.version = found->version;
    } else if (head->entry.version == expected_version) {
      result.status = apply_status::kPending;
      result.reason = "not accepted yet";
    } else if (expected_version + 1 >= oldest) {
      result.status = apply_status::kSuperseded;
      result.superseded_by = head->entry;
      result.version = head->entry.version;
      result.reason = "another configuration was accepted instead";
    } else {
      result.reason = "older than the recent entries of the head row";
    }
    handler(result);
  });
}

void configuration_store::History(uint32_t limit, history_handler handler) {
  ReadHead([this, limit, handler = std::move(handler)](
               const std::optional<configuration_head>& head) {
    if (!head) {
      handler(std::nullopt);
      return;
    }
    rows_.List(
        kHistoryPrefix, limit, table_priority::kOther,
        [limit, head = *head, handler](const table_list_result& list) {
          std::map<uint64_t, configuration_entry, std::greater<>> entries;
          for (const table_row& row : list.rows) {
            const configuration_entry entry =
                ParseEntry(json::parse(row.value, nullptr, false));
            entries.emplace(entry.version, entry);
          }
          if (head.entry.version > 0) entries[head.entry.version] = head.entry;
          for (const configuration_entry& previous : head.recent) {
            entries[previous.version] = previous;
          }
          std::vector<configuration_entry> newest;
          for (const auto& [version, entry] : entries) {
            if (newest.size() < limit) newest.push_back(entry);
          }
          handler(std::move(newest));
        });
  });
}

}  // namespace wisteriadale::core
