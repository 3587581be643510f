#include "router/configuration_service.h"

#include <nlohmann/json.hpp>

#include "common/last_error.h"

namespace wisteriadale::router {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxHistoryEntries = 1000;

}  // namespace

void configuration_service::Apply(const core::apply_request& request,
                                  const apply_handler& handler) {
  const std::optional<std::shared_ptr<const core::configuration>> parsed =
      core::ParseConfiguration(request.document, request.expected_version + 1);
  if (!parsed) {
    core::apply_result result;
    result.status = core::apply_status::kBadDocument;
    result.reason = common::LastError().text;
    result.token = request.token;
    handler(result);
    return;
  }
  store_.Apply(request, (*parsed)->preset,
               [this, handler,
                document = request.document](const core::apply_result& result) {
                 if (result.status == core::apply_status::kAccepted) {
                   distributor_.OnAccepted(document, result.version);
                 }
                 handler(result);
               });
}

void configuration_service::SetPreset(const std::string& preset,
                                      core::apply_request request,
                                      const apply_handler& handler) {
  // The change builds on the configuration that is active here. When that is
  // stale, the compare-and-set fails and the operator gets the conflict.
  json document = json::parse(holder_.current()->document, nullptr, false);
  document["preset"] = preset;
  request.document = document.dump(1);
  if (request.expected_version == 0) {
    request.expected_version = holder_.version();
  }
  Apply(request, handler);
}

void configuration_service::ReadVersion(
    uint64_t version, core::configuration_store::document_handler handler) {
  store_.History(
      kMaxHistoryEntries,
      [this, version, handler = std::move(handler)](
          const std::optional<std::vector<core::configuration_entry>>&
              entries) {
        if (entries) {
          for (const core::configuration_entry& entry : *entries) {
            if (entry.version != version) continue;
            store_.ReadDocument(entry.digest, handler);
            return;
          }
        }
        handler(std::nullopt);
      });
}

}  // namespace wisteriadale::router
