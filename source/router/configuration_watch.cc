#include "router/configuration_watch.h"

#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/last_reason.h"
#include "common/log.h"

namespace wisteriadale::router {
namespace {

using common::log_channel;
using common::log_level;
using common::result_code;
using nlohmann::json;

constexpr char kHeadKey[] = "configuration/head";

std::string ObjectName(const std::string& digest) {
  return "configuration/" + digest;
}

}  // namespace

void configuration_watch::Poll() {
  rows_.Read(kHeadKey, core::table_priority::kConfiguration,
             [this](const core::table_answer& answer) {
               OnHead(answer);
               timers_.Schedule(poll_period_, [this] { Poll(); });
             });
}

void configuration_watch::OnHead(const core::table_answer& answer) {
  if (answer.status != core::table_status::kOk) return;
  const uint64_t version = answer.row.version;
  if (version == 0 || (current_ && current_->version >= version)) return;
  const json head = json::parse(answer.row.value, nullptr, false);
  if (!head.is_object()) return;
  const std::string digest = head.value("digest", "");
  objects_.Get(ObjectName(digest),
               [this, digest, version](std::optional<std::string> document) {
                 if (!document) return;
                 if (common::Sha256Hex(*document) != digest) return;
                 Adopt(*document, version);
               });
}

void configuration_watch::Adopt(const std::string& document, uint64_t version) {
  // A process never steps down to an older version.
  if (current_ && current_->version >= version) return;
  const std::optional<std::shared_ptr<const core::configuration>> parsed =
      core::ParseConfiguration(document, version);
  if (!parsed) {
    common::Log(log_channel::kConfiguration, log_level::kError,
                "version " + std::to_string(version) +
                    " cannot be read: " + common::LastReason().text);
    return;
  }
  current_ = *parsed;
  common::Log(log_channel::kConfiguration, log_level::kInfo,
              "version " + std::to_string(version) + " in force, preset " +
                  current_->preset);
}

void configuration_watch::Apply(
    const std::string& document, uint64_t expected_version,
    const std::function<void(const apply_answer&)>& handler) {
  if (!core::ParseConfiguration(document, expected_version + 1)) {
    handler({result_code::kBadConfiguration, common::LastReason().text, 0});
    return;
  }
  const std::string digest = common::Sha256Hex(document);
  const json head = {{"digest", digest}};
  objects_.Put(
      ObjectName(digest), document,
      [this, document, expected_version, handler,
       row = head.dump()](bool stored) {
        if (!stored) {
          handler({result_code::kPlatformUnavailable,
                   "the object store does not answer", 0});
          return;
        }
        rows_.Write(
            kHeadKey, expected_version, row,
            core::table_priority::kConfiguration,
            [this, document, handler](const core::table_answer& answer) {
              if (answer.status == core::table_status::kOk) {
                Adopt(document, answer.row.version);
                handler({result_code::kOk, "", answer.row.version});
              } else if (answer.status == core::table_status::kConflict) {
                handler({result_code::kConflict,
                         "another configuration was accepted first",
                         answer.row.version});
              } else {
                handler({result_code::kPlatformUnavailable,
                         "it is not known whether the table took it", 0});
              }
            });
      });
}

}  // namespace wisteriadale::router
