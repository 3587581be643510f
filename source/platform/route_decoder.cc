#include "platform/route_decoder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "common/last_error.h"
#include "net/endpoint.h"

namespace wisteriadale::platform {
namespace {

using nlohmann::json;

constexpr double kBytesPerMegabyte = 1e6;
// Far above what any deployment uses. Larger numbers would overflow when they
// are converted, or when they are added to the time.
constexpr double kMaxMilliseconds = 1e10;
constexpr double kMaxWarmUpMilliseconds = 24.0 * 3600 * 1000;
constexpr double kMaxSlots = 1e6;
constexpr double kMaxWholeNumber = 9007199254740992.0;  // 2^53
// The year 9999.
constexpr uint64_t kMaxStartMs = 253402300799999;
constexpr double kMaxCount = std::numeric_limits<uint32_t>::max();
// Callers abandon a stream after a gap of this, of four times the latency
// objective, or of eight times the event gap objective, whichever is longest.
constexpr common::duration kMinPatience = std::chrono::seconds(2);

/// Reports a malformed document. Never leaves this file.
class format_error final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const json& RequiredField(const json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) {
    throw format_error(std::string(name) + " is missing");
  }
  return object.at(name);
}

std::string TextField(const json& object, const char* name) {
  const json& value = RequiredField(object, name);
  if (!value.is_string()) {
    throw format_error(std::string(name) + " is not a string");
  }
  return value.get<std::string>();
}

double NumberField(const json& object, const char* name) {
  const json& value = RequiredField(object, name);
  if (!value.is_number()) {
    throw format_error(std::string(name) + " is not a number");
  }
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0) {
    throw format_error(std::string(name) + " is negative or not finite");
  }
  return number;
}

/// @param max largest value that is accepted
double NumberField(const json& object, const char* name, double max) {
  const double number = NumberField(object, name);
  if (number > max) throw format_error(std::string(name) + " is too large");
  return number;
}

/// @return the field, without its fraction
uint32_t CountField(const json& object, const char* name) {
  return static_cast<uint32_t>(NumberField(object, name, kMaxCount));
}

uint32_t CountFieldOr(const json& object, const char* name, uint32_t fallback) {
  return object.contains(name) ? CountField(object, name) : fallback;
}

/// @return the field, without its fraction
uint64_t WholeNumberField(const json& object, const char* name) {
  return static_cast<uint64_t>(NumberField(object, name, kMaxWholeNumber));
}

uint64_t WholeNumberFieldOr(const json& object, const char* name,
                            uint64_t fallback) {
  return object.contains(name) ? WholeNumberField(object, name) : fallback;
}

bool BoolFieldOr(const json& object, const char* name, bool fallback) {
  if (!object.contains(name)) return fallback;
  const json& value = object.at(name);
  if (!value.is_boolean()) {
    throw format_error(std::string(name) + " is not a boolean");
  }
  return value.get<bool>();
}

common::duration Milliseconds(double value) {
  return common::duration(static_cast<int64_t>(value * 1000.0));
}

common::duration DurationField(const json& object, const char* name,
                               double max_ms = kMaxMilliseconds) {
  return Milliseconds(NumberField(object, name, max_ms));
}

const json& ListField(const json& object, const char* name) {
  const json& value = RequiredField(object, name);
  if (!value.is_array()) {
    throw format_error(std::string(name) + " is not an array");
  }
  return value;
}

core::request_kind ParseKind(const std::string& kind_name) {
  if (kind_name == "idempotent") return core::request_kind::kIdempotent;
  if (kind_name == "non_idempotent") return core::request_kind::kNonIdempotent;
  if (kind_name == "streaming") return core::request_kind::kStreaming;
  throw format_error("kind " + kind_name + " is unknown");
}

core::stage_spec ParseStage(const json& from, size_t index) {
  core::stage_spec stage;
  stage.service = TextField(from, "service");
  stage.result_bytes = WholeNumberFieldOr(from, "size-bytes", 0);
  if (!from.contains("after")) return stage;
  for (const json& dependency : ListField(from, "after")) {
    // A stage that depends on itself, or on a later one, could never start.
    if (!dependency.is_number_unsigned() || dependency.get<size_t>() >= index) {
      throw format_error("after may only name earlier stages");
    }
    stage.depends_on.push_back(dependency.get<uint32_t>());
  }
  return stage;
}

core::route ParseRoute(const json& from) {
  core::route route;
  route.name = TextField(from, "name");
  route.host = TextField(from, "host");
  route.path_prefix = TextField(from, "path-prefix");
  route.kind = ParseKind(TextField(from, "kind"));
  route.timeout = DurationField(from, "timeout-ms");
  route.objective = from.contains("target-latency-ms")
                        ? DurationField(from, "target-latency-ms")
                        : route.timeout;
  if (from.contains("target-gap-ms")) {
    route.event_gap_objective = DurationField(from, "target-gap-ms");
  }
  if (route.kind == core::request_kind::kStreaming) {
    route.patience = std::max(
        {kMinPatience, 4 * route.objective, 8 * route.event_gap_objective});
  }
  route.priority = CountFieldOr(from, "priority", 0);
  route.max_attempts = CountFieldOr(from, "max-attempts", 1);
  route.is_public = BoolFieldOr(from, "public", false);
  route.resumable = BoolFieldOr(from, "resumable", false);
  route.shares_prompt_prefixes = BoolFieldOr(from, "sticky", false);
  if (from.contains("weighted-services")) {
    for (const json& weighted : ListField(from, "weighted-services")) {
      route.services.push_back(
          {TextField(weighted, "service"), CountField(weighted, "weight")});
    }
  } else {
    route.services.push_back({TextField(from, "service"), 1});
  }
  if (from.contains("stages")) {
    for (const json& stage : ListField(from, "stages")) {
      route.stages.push_back(ParseStage(stage, route.stages.size()));
    }
  }
  return route;
}

core::service_spec ParseService(const json& from) {
  core::service_spec service;
  service.name = TextField(from, "name");
  service.max_connections = CountFieldOr(from, "max-connections", 0);
  if (from.contains("cold-start-s")) {
    service.cold_time = Milliseconds(
        NumberField(from, "cold-start-s", kMaxWarmUpMilliseconds / 1000.0) *
        1000.0);
  }
  if (from.contains("cold-per-s")) {
    service.cold_per_second = NumberField(from, "cold-per-s", kMaxCount);
  }
  if (from.contains("pieces")) {
    const json& pieces = from.at("pieces");
    core::batch_spec spec;
    spec.slots = CountField(pieces, "slots");
    spec.max_pieces = CountField(pieces, "batch");
    spec.call_time = DurationField(pieces, "call-ms");
    spec.piece_time = DurationField(pieces, "item-ms");
    // Despite its name: the capacity for results, not a margin to keep free.
    spec.result_capacity_bytes = static_cast<uint64_t>(
        NumberField(pieces, "headroom-mb", kMaxCount) * kBytesPerMegabyte);
    spec.result_lifetime = Milliseconds(
        NumberField(pieces, "handle-s", kMaxMilliseconds / 1000.0) * 1000.0);
    service.batches = spec;
  }
  if (from.contains("engine")) {
    const json& engine = from.at("engine");
    service.engine =
        core::engine_spec{CountField(engine, "slots"),
                          WholeNumberField(engine, "kv-capacity-tokens")};
  }
  return service;
}

core::organisation_spec ParseOrganisation(const json& from) {
  core::organisation_spec organisation;
  organisation.name = TextField(from, "name");
  for (const json& key : ListField(from, "api-keys")) {
    if (!key.is_string()) throw format_error("an API key is not a string");
    organisation.keys.push_back(key.get<std::string>());
  }
  if (from.contains("priority")) {
    organisation.priority = CountField(from, "priority");
  }
  return organisation;
}

core::caller_limits ParseLimits(const json& from) {
  core::caller_limits limits;
  limits.max_header_bytes = WholeNumberField(from, "max-header-bytes");
  limits.max_body_bytes = WholeNumberField(from, "max-body-bytes");
  limits.header_timeout = DurationField(from, "header-timeout-ms");
  limits.idle_timeout = DurationField(from, "idle-timeout-ms");
  return limits;
}

json ParseJsonObject(std::string_view text) {
  json document = json::parse(text, nullptr, false);
  if (!document.is_object()) throw format_error("not a JSON object");
  return document;
}

core::route_document ParseDocument(std::string_view text) {
  const json from = ParseJsonObject(text);
  core::route_document document;
  document.version = WholeNumberField(from, "version");
  for (const json& route : ListField(from, "routes")) {
    document.routes.push_back(ParseRoute(route));
  }
  for (const json& service : ListField(from, "services")) {
    document.services.push_back(ParseService(service));
  }
  if (from.contains("tenants")) {
    for (const json& tenant : ListField(from, "tenants")) {
      document.organisations.push_back(ParseOrganisation(tenant));
    }
  }
  if (from.contains("limits")) document.limits = ParseLimits(from.at("limits"));
  return document;
}

/// @return the wall time of a start, in milliseconds
int64_t StartField(const json& object, const char* name) {
  const json& value = RequiredField(object, name);
  if (!value.is_number_integer() ||
      (value.is_number_unsigned() && value.get<uint64_t>() > kMaxStartMs) ||
      value.get<int64_t>() < 0) {
    throw format_error(std::string(name) +
                       " is not an integer, or out of range");
  }
  return value.get<int64_t>();
}

core::target_entry ParseTarget(std::string_view id, std::string_view text) {
  const json from = ParseJsonObject(text);
  core::target_entry entry;
  entry.id = id;
  entry.service = TextField(from, "service");
  entry.address = TextField(from, "address");
  if (!net::ParseNumericEndpoint(entry.address)) {
    throw format_error("address is not ip:port");
  }
  entry.data_centre = TextField(from, "zone");
  TextField(from, "version");
  const double slots = NumberField(from, "slots", kMaxSlots);
  if (slots < 1) throw format_error("slots is below 1");
  entry.slots = static_cast<uint32_t>(slots);
  const std::string state = TextField(from, "state");
  if (state != "ready" && state != "draining") {
    throw format_error("state " + state + " is unknown");
  }
  entry.draining = state == "draining";
  entry.warm_up_remaining =
      DurationField(from, "cold-remaining-ms", kMaxWarmUpMilliseconds);
  NumberField(from, "sequence");
  if (from.contains("born")) entry.started_ms = StartField(from, "born");
  return entry;
}

}  // namespace

std::optional<core::route_document> DecodeRoutes(std::string_view text) {
  try {
    return ParseDocument(text);
  } catch (const std::exception& error) {
    common::SetLastError(common::result_code::kBadConfiguration, error.what());
    return std::nullopt;
  }
}

std::optional<core::target_entry> DecodeTarget(std::string_view id,
                                               std::string_view text) {
  try {
    return ParseTarget(id, text);
  } catch (const std::exception& error) {
    common::SetLastError(common::result_code::kBadRequest, error.what());
    return std::nullopt;
  }
}

}  // namespace wisteriadale::platform
