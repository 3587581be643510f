#include "platform/route_decoder.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "common/last_reason.h"
#include "net/endpoint.h"

namespace wisteriadale::platform {
namespace {

using nlohmann::json;

constexpr double kBytesPerMegabyte = 1e6;
// Callers abandon a stream after a gap of this, of four times the objective or
// of eight times the pause, whichever is longest.
constexpr common::duration kLeastPatience = std::chrono::seconds(2);

/// A document that does not have the form it must have. It never leaves this
/// file.
class format_fault final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const json& Field(const json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) {
    throw format_fault(std::string(name) + " is missing");
  }
  return object.at(name);
}

std::string Text(const json& object, const char* name) {
  const json& value = Field(object, name);
  if (!value.is_string()) {
    throw format_fault(std::string(name) + " is not a text");
  }
  return value.get<std::string>();
}

double Number(const json& object, const char* name) {
  const json& value = Field(object, name);
  if (!value.is_number()) {
    throw format_fault(std::string(name) + " is not a number");
  }
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < 0) {
    throw format_fault(std::string(name) + " is not a count or a time");
  }
  return number;
}

double NumberOr(const json& object, const char* name, double otherwise) {
  return object.contains(name) ? Number(object, name) : otherwise;
}

bool FlagOr(const json& object, const char* name, bool otherwise) {
  if (!object.contains(name)) return otherwise;
  const json& value = object.at(name);
  if (!value.is_boolean()) {
    throw format_fault(std::string(name) + " is not true or false");
  }
  return value.get<bool>();
}

common::duration Millis(double value) {
  return common::duration(static_cast<int64_t>(value * 1000.0));
}

const json& List(const json& object, const char* name) {
  const json& value = Field(object, name);
  if (!value.is_array()) {
    throw format_fault(std::string(name) + " is not a list");
  }
  return value;
}

core::request_kind Kind(const std::string& word) {
  if (word == "idempotent") return core::request_kind::kIdempotent;
  if (word == "non_idempotent") return core::request_kind::kNonIdempotent;
  if (word == "streaming") return core::request_kind::kStreaming;
  throw format_fault("kind " + word + " is not known");
}

core::stage_spec Stage(const json& from, size_t index) {
  core::stage_spec stage;
  stage.service = Text(from, "service");
  stage.result_bytes = static_cast<uint64_t>(NumberOr(from, "size-bytes", 0));
  if (!from.contains("after")) return stage;
  for (const json& before : List(from, "after")) {
    // Stages that follow themselves, or a later one, would never begin.
    if (!before.is_number_unsigned() || before.get<size_t>() >= index) {
      throw format_fault("after names a stage that is not an earlier one");
    }
    stage.depends_on.push_back(before.get<uint32_t>());
  }
  return stage;
}

core::route Route(const json& from) {
  core::route route;
  route.name = Text(from, "name");
  route.host = Text(from, "host");
  route.path_prefix = Text(from, "path-prefix");
  route.kind = Kind(Text(from, "kind"));
  route.timeout = Millis(Number(from, "timeout-ms"));
  route.objective =
      Millis(NumberOr(from, "target-latency-ms", Number(from, "timeout-ms")));
  route.event_gap_objective = Millis(NumberOr(from, "target-gap-ms", 0));
  if (route.kind == core::request_kind::kStreaming) {
    route.patience = std::max(
        {kLeastPatience, 4 * route.objective, 8 * route.event_gap_objective});
  }
  route.priority = static_cast<uint32_t>(NumberOr(from, "priority", 0));
  route.max_attempts = static_cast<uint32_t>(NumberOr(from, "max-attempts", 1));
  route.is_public = FlagOr(from, "public", false);
  route.resumable = FlagOr(from, "resumable", false);
  route.shares_prompt_prefixes = FlagOr(from, "sticky", false);
  if (from.contains("weighted-services")) {
    for (const json& part : List(from, "weighted-services")) {
      route.services.push_back({Text(part, "service"),
                                static_cast<uint32_t>(Number(part, "weight"))});
    }
  } else {
    route.services.push_back({Text(from, "service"), 1});
  }
  if (from.contains("stages")) {
    for (const json& stage : List(from, "stages")) {
      route.stages.push_back(Stage(stage, route.stages.size()));
    }
  }
  return route;
}

core::service_spec Service(const json& from) {
  core::service_spec service;
  service.name = Text(from, "name");
  service.max_connections =
      static_cast<uint32_t>(NumberOr(from, "max-connections", 0));
  if (from.contains("pieces")) {
    const json& pieces = from.at("pieces");
    core::batch_spec batches;
    batches.slots = static_cast<uint32_t>(Number(pieces, "slots"));
    batches.max_pieces = static_cast<uint32_t>(Number(pieces, "batch"));
    batches.call_time = Millis(Number(pieces, "call-ms"));
    batches.piece_time = Millis(Number(pieces, "item-ms"));
    // The room for results, not a margin that must stay free.
    batches.result_capacity_bytes = static_cast<uint64_t>(
        Number(pieces, "headroom-mb") * kBytesPerMegabyte);
    batches.result_lifetime = Millis(Number(pieces, "handle-s") * 1000.0);
    service.batches = batches;
  }
  if (from.contains("engine")) {
    const json& engine = from.at("engine");
    service.engine = core::engine_spec{
        static_cast<uint32_t>(Number(engine, "slots")),
        static_cast<uint64_t>(Number(engine, "kv-capacity-tokens"))};
  }
  return service;
}

core::organisation_spec Organisation(const json& from) {
  core::organisation_spec organisation;
  organisation.name = Text(from, "name");
  for (const json& key : List(from, "api-keys")) {
    if (!key.is_string()) throw format_fault("an API key is not a text");
    organisation.keys.push_back(key.get<std::string>());
  }
  if (from.contains("priority")) {
    organisation.priority = static_cast<uint32_t>(Number(from, "priority"));
  }
  return organisation;
}

core::caller_limits Limits(const json& from) {
  core::caller_limits limits;
  limits.max_header_bytes =
      static_cast<uint64_t>(Number(from, "max-header-bytes"));
  limits.max_body_bytes = static_cast<uint64_t>(Number(from, "max-body-bytes"));
  limits.header_timeout = Millis(Number(from, "header-timeout-ms"));
  limits.idle_timeout = Millis(Number(from, "idle-timeout-ms"));
  return limits;
}

json Parse(std::string_view text) {
  json document = json::parse(text, nullptr, false);
  if (!document.is_object()) throw format_fault("it is not a JSON object");
  return document;
}

core::route_document Document(std::string_view text) {
  const json from = Parse(text);
  core::route_document document;
  document.version = static_cast<uint64_t>(Number(from, "version"));
  for (const json& route : List(from, "routes")) {
    document.routes.push_back(Route(route));
  }
  for (const json& service : List(from, "services")) {
    document.services.push_back(Service(service));
  }
  if (from.contains("tenants")) {
    for (const json& tenant : List(from, "tenants")) {
      document.organisations.push_back(Organisation(tenant));
    }
  }
  if (from.contains("limits")) document.limits = Limits(from.at("limits"));
  return document;
}

bool IsAddress(const std::string& text) {
  const std::optional<net::endpoint> endpoint = net::EndpointFrom(text);
  return endpoint && endpoint->address.find_first_not_of("0123456789.") ==
                         std::string::npos;
}

core::target_entry Target(std::string_view id, std::string_view text) {
  const json from = Parse(text);
  core::target_entry entry;
  entry.id = id;
  entry.service = Text(from, "service");
  entry.address = Text(from, "address");
  if (!IsAddress(entry.address)) throw format_fault("address is not ip:port");
  entry.data_centre = Text(from, "zone");
  Text(from, "version");
  entry.slots = static_cast<uint32_t>(Number(from, "slots"));
  const std::string state = Text(from, "state");
  if (state != "ready" && state != "draining") {
    throw format_fault("state " + state + " is not known");
  }
  entry.draining = state == "draining";
  entry.warm_up_remaining = Millis(Number(from, "cold-remaining-ms"));
  Number(from, "sequence");
  if (from.contains("born")) {
    if (!from.at("born").is_number_integer()) {
      throw format_fault("born is not a whole number");
    }
    entry.started_ms = from.at("born").get<int64_t>();
  }
  return entry;
}

}  // namespace

std::optional<core::route_document> DecodeRoutes(std::string_view text) {
  try {
    return Document(text);
  } catch (const std::exception& fault) {
    common::SetLastReason(common::result_code::kBadConfiguration, fault.what());
    return std::nullopt;
  }
}

std::optional<core::target_entry> DecodeTarget(std::string_view id,
                                               std::string_view text) {
  try {
    return Target(id, text);
  } catch (const std::exception& fault) {
    common::SetLastReason(common::result_code::kBadRequest, fault.what());
    return std::nullopt;
  }
}

}  // namespace wisteriadale::platform
