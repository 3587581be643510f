#include "load/plan.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "common/last_error.h"
#include "common/random.h"

namespace wisteriadale::load {
namespace {

using nlohmann::json;

std::vector<net::endpoint> ReadEndpoints(const json& list) {
  std::vector<net::endpoint> endpoints;
  for (const json& text : list) {
    const std::optional<net::endpoint> read =
        net::ParseEndpoint(text.get<std::string>());
    if (read) endpoints.push_back(*read);
  }
  return endpoints;
}

phase ReadPhase(const json& from) {
  phase read;
  read.name = from.value("name", "steady");
  read.seconds = from.at("seconds").get<double>();
  read.rate = from.at("rate").get<double>();
  read.heavy_organisation = from.value("heavy", "");
  read.heavy_factor = from.value("heavy_factor", 1.0);
  return read;
}

request_kind ReadKind(const json& from) {
  request_kind read;
  read.pipeline = from.at("pipeline").get<std::string>();
  read.name = from.value("name", read.pipeline);
  read.share = from.value("share", read.share);
  read.streamed = from.value("streamed", read.streamed);
  read.needs_key = from.value("needs_key", read.needs_key);
  read.deadline_ms = from.value("deadline_ms", int64_t{5000});
  read.tokens = from.value("tokens", read.tokens);
  read.direct_stage = from.value("direct_stage", "");
  read.direct_targets =
      ReadEndpoints(from.value("direct_targets", json::array()));
  return read;
}

fault_step ReadStep(const json& from) {
  fault_step read;
  read.at_seconds = from.at("at").get<double>();
  read.note = from.value("note", "");
  if (from.contains("faults")) read.faults_json = from["faults"].dump();
  return read;
}

load_plan ReadPlan(const json& from) {
  load_plan plan;
  plan.name = from.value("name", "load");
  plan.seed = from.value("seed", plan.seed);
  plan.routers = ReadEndpoints(from.value("routers", json::array()));
  plan.platform = net::ParseEndpoint(from.value("platform", ""))
                      .value_or(net::endpoint{"127.0.0.1", 0});
  for (const json& entry : from.at("phases")) {
    plan.phases.push_back(ReadPhase(entry));
  }
  for (const json& entry : from.at("kinds")) {
    plan.kinds.push_back(ReadKind(entry));
  }
  for (const json& entry : from.at("organisations")) {
    plan.organisations.push_back({entry.at("name").get<std::string>(),
                                  entry.at("key").get<std::string>(),
                                  entry.value("share", 1.0)});
  }
  for (const json& entry : from.value("steps", json::array())) {
    plan.steps.push_back(ReadStep(entry));
  }
  plan.recovery_from_seconds =
      from.value("recovery_from", plan.recovery_from_seconds);
  return plan;
}

/// @return a random index, with probabilities in proportion to the shares
size_t PickWeighted(const std::vector<double>& shares, double total,
                    common::random_source& random) {
  double remaining = random.Uniform() * total;
  for (size_t i = 0; i + 1 < shares.size(); ++i) {
    if (remaining < shares[i]) return i;
    remaining -= shares[i];
  }
  return shares.size() - 1;
}

double Sum(const std::vector<double>& shares) {
  double total = 0;
  for (const double share : shares) total += share;
  return total;
}

}  // namespace

double load_plan::Seconds() const {
  double total = 0;
  for (const phase& part : phases) total += part.seconds;
  return total;
}

std::optional<load_plan> ParsePlan(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  // nlohmann::json reports a value that is missing or of the wrong type by an
  // exception.
  try {
    load_plan plan = ReadPlan(parsed);
    if (!plan.phases.empty() && !plan.kinds.empty() &&
        !plan.organisations.empty()) {
      return plan;
    }
    common::SetLastError(common::result_code::kBadSettings,
                         "phases, kinds and organisations must not be empty");
  } catch (const json::exception& error) {
    common::SetLastError(common::result_code::kBadSettings, error.what());
  }
  return std::nullopt;
}

std::vector<arrival> GenerateArrivals(const load_plan& plan) {
  common::seeded_random random(plan.seed);
  std::vector<double> kind_shares;
  for (const request_kind& kind : plan.kinds) kind_shares.push_back(kind.share);
  std::vector<double> base_shares;
  for (const organisation& entry : plan.organisations) {
    base_shares.push_back(entry.share);
  }
  const double base_total = Sum(base_shares);
  std::vector<arrival> arrivals;
  double start = 0;
  for (size_t i = 0; i < plan.phases.size(); ++i) {
    const phase& part = plan.phases[i];
    std::vector<double> shares = base_shares;
    for (size_t o = 0; o < shares.size(); ++o) {
      if (plan.organisations[o].name == part.heavy_organisation) {
        shares[o] *= part.heavy_factor;
      }
    }
    // The rates of the other organisations stay as they are.
    const double total = Sum(shares);
    const double rate = part.rate * total / base_total;
    const double end = start + part.seconds;
    double time = start;
    while (rate > 0) {
      time -= std::log(1 - random.Uniform()) / rate;
      if (time >= end) break;
      arrival next;
      next.at_seconds = time;
      next.phase = i;
      next.kind = PickWeighted(kind_shares, Sum(kind_shares), random);
      next.organisation = PickWeighted(shares, total, random);
      arrivals.push_back(next);
    }
    start = end;
  }
  return arrivals;
}

}  // namespace wisteriadale::load
