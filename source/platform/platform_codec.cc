#include "platform/platform_codec.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "common/last_error.h"
#include "platform/route_decoder.h"

namespace wisteriadale::platform {
namespace {

using nlohmann::json;

constexpr int kStatusTimeout = 408;
constexpr int kStatusConflict = 409;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

core::header_names HeaderNames() {
  core::header_names names;
  names.request_id = "X-Wisteriadale-Request-Id";
  names.deadline_ms = "X-Wisteriadale-Deadline-Ms";
  names.key = "X-Wisteriadale-Key";
  names.organisation = "X-Wisteriadale-Tenant-Id";
  names.expected_target = "X-Wisteriadale-Expect-Instance";
  names.not_run = "X-Wisteriadale-Not-Executed";
  names.request_limit = "Server-Limit";
  names.leaving = "Server-Leaving";
  names.back_off = "Retry-After";
  names.signature = "X-Wisteriadale-Response-Signature";
  names.priority = "X-Wisteriadale-Request-Priority";
  names.piece_counts = "X-Wisteriadale-Pieces";
  names.piece_key = "X-Wisteriadale-Piece-Key";
  names.inputs = "X-Wisteriadale-Inputs";
  names.prompt_parts = "X-Wisteriadale-Prompt-Prefix";
  names.prompt_tokens = "X-Wisteriadale-Token-Usage";
  names.last_event_id = "Last-Event-Id";
  names.reserved = {names.key,
                    names.organisation,
                    names.expected_target,
                    names.priority,
                    names.inputs,
                    "X-Wisteriadale-Hold",
                    "X-Wisteriadale-Pin-Ms",
                    "X-Wisteriadale-Kv-Backup",
                    "Kv-From",
                    "Kv-Fetch"};
  return names;
}

core::piece_outcome PieceOutcomeFrom(std::string_view reason) {
  if (reason == "late") return core::piece_outcome::kExpired;
  if (reason == "gone") return core::piece_outcome::kInputMissing;
  if (reason == "room") return core::piece_outcome::kNoRoom;
  return core::piece_outcome::kError;
}

/// Handles are sent in a header as a comma-separated list.
/// @param target address of the target that returned the handle
/// @return whether the handle begins with that address and is safe to send
bool IsValidHandle(std::string_view handle, std::string_view target) {
  if (!handle.starts_with(target) || handle.size() <= target.size() + 1 ||
      handle[target.size()] != '/') {
    return false;
  }
  return std::all_of(handle.begin(), handle.end(), [](char character) {
    return character > ' ' && character < 0x7f && character != ',';
  });
}

class platform_codec final : public core::deployment_codec {
 public:
  const core::header_names& headers() const override { return headers_; }
  const core::deployment_locations& locations() const override {
    return locations_;
  }

  std::optional<core::route_document> DecodeRoutes(
      std::string_view text) const override {
    return platform::DecodeRoutes(text);
  }

  std::optional<core::target_entry> DecodeTarget(
      std::string_view id, std::string_view text) const override {
    return platform::DecodeTarget(id, text);
  }

  std::string_view stage_path() const override { return "/v1/stage-run"; }

  std::string EncodePieces(std::span<const core::piece_ref> pieces,
                           common::time_point now) const override {
    json items = json::array();
    for (const core::piece_ref& piece : pieces) {
      const int64_t remaining_ms =
          std::chrono::duration_cast<common::milliseconds>(piece.deadline - now)
              .count();
      json item = {{"id", piece.request_id},
                   {"stage", piece.stage},
                   {"piece", piece.piece},
                   {"remaining-ms", std::max<int64_t>(1, remaining_ms)}};
      if (piece.inputs.empty()) {
        item["key"] = piece.key;
      } else {
        item["inputs"] = piece.inputs;
      }
      items.push_back(std::move(item));
    }
    return json{{"items", std::move(items)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
  }

  std::optional<std::vector<core::piece_result>> DecodePieces(
      std::string_view target, size_t expected,
      std::string_view body) const override {
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("items") ||
        !document["items"].is_array() || document["items"].size() != expected) {
      common::SetLastError(
          common::result_code::kTargetFailed,
          "the response does not hold one result for each piece");
      return std::nullopt;
    }
    // An item with neither a valid handle nor a known reason counts as an
    // error.
    std::vector<core::piece_result> results;
    for (const json& item : document["items"]) {
      core::piece_result result;
      result.end = core::piece_outcome::kError;
      if (item.is_object() && item.contains("handle") &&
          item["handle"].is_string()) {
        result.handle = item["handle"].get<std::string>();
        if (IsValidHandle(result.handle, target)) {
          result.end = core::piece_outcome::kCompleted;
        }
      } else if (item.is_object() && item.contains("reason") &&
                 item["reason"].is_string()) {
        result.end = PieceOutcomeFrom(item["reason"].get<std::string>());
      }
      results.push_back(std::move(result));
    }
    return results;
  }

  std::string_view ProducerAddress(std::string_view handle) const override {
    return handle.substr(0, handle.find('/'));
  }

  bool IndicatesNotRun(int status, bool marked) const override {
    return marked || IndicatesMisdirected(status);
  }

  bool PromisesNotRun(int status) const override {
    return status == kStatusTimeout || status == kStatusMisdirected ||
           status == kStatusTooMany || status == kStatusUnavailable;
  }

  bool IndicatesMisdirected(int status) const override {
    return status == kStatusMisdirected;
  }

  bool IndicatesBackOff(int status) const override {
    return status == kStatusUnavailable;
  }

  bool IndicatesMissingInputs(int status, bool marked) const override {
    return marked && status == kStatusConflict;
  }

  std::string_view release_path() const override { return "/v1/stage-free"; }

  std::string EncodeRelease(
      std::span<const std::string> handles) const override {
    return json{
        {"handles", std::vector<std::string>(handles.begin(), handles.end())}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
  }

 private:
  core::header_names headers_ = HeaderNames();
  core::deployment_locations locations_ = {"op",        "config",
                                           "servers",   "wisteria-gateways",
                                           "evacuate/", "wisteria-suspects"};
};

}  // namespace

std::unique_ptr<core::deployment_codec> MakePlatformCodec() {
  return std::make_unique<platform_codec>();
}

std::string SettingsPathFromEnvironment() {
  const char* path = std::getenv("WISTERIADALE_NODE_FILE");
  return path == nullptr ? "" : path;
}

}  // namespace wisteriadale::platform
