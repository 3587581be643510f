#include "core/configuration/configuration_store.h"

#include <map>
#include <nlohmann/json.hpp>

#include "common/digest.h"

namespace wisteriadale::core {
namespace {

using nlohmann::json;

constexpr char kHeadKey[] = "configuration/head";
constexpr char kHistoryPrefix[] = "configuration/history/";
constexpr size_t kRecentEntries = 64;
constexpr int kVersionDigits = 12;
constexpr common::duration kReadBackDelay = std::chrono::milliseconds(200);
constexpr common::duration kReadBackLimit = std::chrono::seconds(3);

std::string ObjectName(const std::string& digest) {
  return "configuration/" + digest;
}

/// Keys sort by age: the newest version has the first key.
std::string HistoryKey(uint64_t version) {
  constexpr uint64_t kCeiling = 999999999999;
  std::string digits = std::to_string(kCeiling - version);
  digits.insert(0, kVersionDigits - digits.size(), '0');
  return kHistoryPrefix + digits;
}

json ToJson(const configuration_entry& entry) {
  return {{"version", entry.version}, {"token", entry.token},
          {"digest", entry.digest},   {"preset", entry.preset},
          {"who", entry.author},      {"wall_us", entry.wall_us}};
}

configuration_entry EntryOf(const json& from) {
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

std::optional<configuration_head> HeadOf(const table_result& answer) {
  const bool told = answer.status == table_status::kOk ||
                    answer.status == table_status::kConflict;
  if (!told) return std::nullopt;
  configuration_head head;
  if (answer.row.version == 0) return head;
  const json value = json::parse(answer.row.value, nullptr, false);
  if (!value.is_object()) return std::nullopt;
  head.entry = EntryOf(value);
  head.entry.version = answer.row.version;
  for (const json& older : value.value("recent", json::array())) {
    head.recent.push_back(EntryOf(older));
  }
  return head;
}

const configuration_entry* FindToken(const configuration_head& head,
                                     const std::string& token) {
  if (head.entry.token == token) return &head.entry;
  for (const configuration_entry& older : head.recent) {
    if (older.token == token) return &older;
  }
  return nullptr;
}

}  // namespace

struct configuration_store::application {
  apply_request request;
  configuration_entry entry;
  apply_handler handler;
  common::time_point give_up;
};

void configuration_store::ReadHead(head_handler handler) {
  rows_.Read(kHeadKey, table_priority::kConfiguration,
             [handler = std::move(handler)](const table_result& answer) {
               handler(HeadOf(answer));
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
  const std::shared_ptr<application> work = std::make_shared<application>();
  if (request.token.empty()) request.token = random_.HexId();
  work->request = std::move(request);
  work->handler = std::move(handler);
  work->give_up = clock_.Now() + kReadBackLimit;
  work->entry.version = work->request.expected_version + 1;
  work->entry.token = work->request.token;
  work->entry.digest = common::Sha256Hex(work->request.document);
  work->entry.preset = preset;
  work->entry.author = work->request.author;
  work->entry.wall_us = clock_.WallMicros();
  objects_.Put(ObjectName(work->entry.digest), work->request.document,
               [this, work](bool stored) {
                 if (stored) {
                   Move(work);
                   return;
                 }
                 apply_result answer;
                 answer.token = work->request.token;
                 answer.status = apply_status::kUnknown;
                 answer.reason =
                     "the object store does not answer; nothing was changed";
                 work->handler(answer);
               });
}

void configuration_store::Move(const std::shared_ptr<application>& work) {
  ReadHead([this, work](const std::optional<configuration_head>& head) {
    if (!head || head->entry.version != work->request.expected_version) {
      OnReadBack(work, head);
      return;
    }
    json value = ToJson(work->entry);
    value["recent"] = json::array();
    if (head->entry.version > 0) value["recent"].push_back(ToJson(head->entry));
    for (const configuration_entry& older : head->recent) {
      if (value["recent"].size() >= kRecentEntries) break;
      value["recent"].push_back(ToJson(older));
    }
    rows_.Write(
        kHeadKey, work->request.expected_version, value.dump(),
        table_priority::kConfiguration,
        [this, work](const table_result& answer) { OnMoved(work, answer); });
  });
}

void configuration_store::OnMoved(const std::shared_ptr<application>& work,
                                  const table_result& answer) {
  if (answer.status == table_status::kOk) {
    Accept(work);
  } else if (answer.status == table_status::kConflict) {
    OnReadBack(work, HeadOf(answer));
  } else {
    Settle(work);
  }
}

void configuration_store::Settle(const std::shared_ptr<application>& work) {
  timers_.Schedule(kReadBackDelay, [this, work] {
    ReadHead([this, work](const std::optional<configuration_head>& head) {
      OnReadBack(work, head);
    });
  });
}

void configuration_store::OnReadBack(
    const std::shared_ptr<application>& work,
    const std::optional<configuration_head>& head) {
  if (head && FindToken(*head, work->request.token) != nullptr) {
    Accept(work);
    return;
  }
  apply_result answer;
  answer.token = work->request.token;
  if (head && head->entry.version != work->request.expected_version) {
    answer.status = apply_status::kSuperseded;
    answer.superseded_by = head->entry;
    answer.version = head->entry.version;
    answer.reason =
        "version " + std::to_string(head->entry.version) + " by " +
        (head->entry.author.empty() ? "unknown" : head->entry.author) +
        " is in force";
    work->handler(answer);
    return;
  }
  if (clock_.Now() < work->give_up) {
    Settle(work);
    return;
  }
  answer.status = head ? apply_status::kPending : apply_status::kUnknown;
  answer.reason = "it is not known whether the table will take it";
  work->handler(answer);
}

void configuration_store::Accept(const std::shared_ptr<application>& work) {
  apply_result answer;
  answer.status = apply_status::kAccepted;
  answer.token = work->request.token;
  answer.version = work->entry.version;
  work->handler(answer);
  WriteHistory(work->entry);
}

void configuration_store::WriteHistory(const configuration_entry& entry) {
  // The head's recent entries stand in for a row that could not be written.
  rows_.Write(HistoryKey(entry.version), 0, ToJson(entry).dump(),
              table_priority::kOther, [](const table_result&) {});
}

void configuration_store::FindApply(const std::string& token,
                                    uint64_t expected_version,
                                    apply_handler handler) {
  ReadHead([token, expected_version, handler = std::move(handler)](
               const std::optional<configuration_head>& head) {
    apply_result answer;
    answer.token = token;
    if (!head) {
      answer.reason = "the table does not answer";
      handler(answer);
      return;
    }
    const configuration_entry* found = FindToken(*head, token);
    const uint64_t oldest = head->recent.empty() ? head->entry.version
                                                 : head->recent.back().version;
    if (found != nullptr) {
      answer.status = apply_status::kAccepted;
      answer.version = found->version;
    } else if (head->entry.version == expected_version) {
      answer.status = apply_status::kPending;
      answer.reason = "not accepted so far";
    } else if (expected_version + 1 >= oldest) {
      answer.status = apply_status::kSuperseded;
      answer.superseded_by = head->entry;
      answer.version = head->entry.version;
      answer.reason = "another configuration was accepted in its place";
    } else {
      answer.reason = "older than the applies that the head remembers";
    }
    handler(answer);
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
                EntryOf(json::parse(row.value, nullptr, false));
            entries.emplace(entry.version, entry);
          }
          if (head.entry.version > 0) entries[head.entry.version] = head.entry;
          for (const configuration_entry& older : head.recent) {
            entries[older.version] = older;
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
