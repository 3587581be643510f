#include "load/summary.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

namespace wisteriadale::load {
namespace {

using nlohmann::json;
namespace bh = boost::histogram;

constexpr double kMsPerSecond = 1000;
// Logarithmic bins from 0.1 ms to 100 s; each bin is 12% wide.
constexpr unsigned kBins = 120;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100000;
constexpr double kRecoveredAttainment = 0.99;
// A single second may have no requests or be good by chance.
constexpr size_t kConsecutiveSeconds = 2;

using sample_filter = std::function<bool(const sample&)>;

/// @return the nearest-rank quantile, or 0 without values; reorders the values
double Quantile(std::vector<double>* values, double quantile) {
  if (values->empty()) return 0;
  const size_t rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(values->size())));
  const size_t index = rank == 0 ? 0 : rank - 1;
  std::nth_element(values->begin(),
                   values->begin() + static_cast<std::ptrdiff_t>(index),
                   values->end());
  return (*values)[index];
}

double Round(double value) { return std::round(value * 1e4) / 1e4; }

double Share(size_t part, size_t total) {
  return total == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(total);
}

/// @return the statistics of the requests that the filter selects
json Statistics(const run_record& record, const sample_filter& selects) {
  size_t offered = 0;
  size_t complete = 0;
  size_t in_time = 0;
  std::vector<double> answers;
  std::vector<double> first_tokens;
  for (const sample& outcome : record.samples) {
    if (!selects(outcome)) continue;
    ++offered;
    if (outcome.first_token_ms >= 0) {
      first_tokens.push_back(outcome.first_token_ms);
    }
    if (!outcome.complete) continue;
    ++complete;
    if (outcome.in_time) ++in_time;
    answers.push_back(outcome.answer_ms);
  }
  return {{"offered", offered},
          {"whole", complete},
          {"in_time", in_time},
          {"attainment", Round(Share(in_time, offered))},
          {"answer_p50_ms", Round(Quantile(&answers, 0.5))},
          {"answer_p99_ms", Round(Quantile(&answers, 0.99))},
          {"first_token_p50_ms", Round(Quantile(&first_tokens, 0.5))},
          {"first_token_p99_ms", Round(Quantile(&first_tokens, 0.99))}};
}

json WithName(const std::string& name, json statistics) {
  statistics["name"] = name;
  return statistics;
}

/// @return Jain's fairness index of the attainments: 1 when all are equal
double Fairness(const json& organisations) {
  double sum = 0;
  double squares = 0;
  for (const json& entry : organisations) {
    const double attainment = entry["attainment"].get<double>();
    sum += attainment;
    squares += attainment * attainment;
  }
  const double count = static_cast<double>(organisations.size());
  return squares == 0 ? 1 : sum * sum / (count * squares);
}

/// @return the attainment of the requests of each second of the run, by
/// scheduled arrival
json AttainmentBySecond(const load_plan& plan, const run_record& record) {
  const size_t seconds = static_cast<size_t>(std::ceil(plan.Seconds()));
  std::vector<size_t> offered(seconds);
  std::vector<size_t> in_time(seconds);
  for (const sample& outcome : record.samples) {
    const size_t at =
        std::min(seconds - 1, static_cast<size_t>(outcome.planned.at_seconds));
    ++offered[at];
    if (outcome.in_time) ++in_time[at];
  }
  json series = json::array();
  for (size_t i = 0; i < seconds; ++i) {
    // A second without requests counts as fully attained.
    series.push_back(offered[i] == 0 ? 1
                                     : Round(Share(in_time[i], offered[i])));
  }
  return series;
}

/// @return seconds from the end of the disturbance to the first of two
/// consecutive seconds with an attainment of 99%; null when there are none
json RecoverySeconds(const load_plan& plan, const json& by_second) {
  if (plan.recovery_from_seconds < 0) return nullptr;
  const size_t from =
      static_cast<size_t>(std::ceil(plan.recovery_from_seconds));
  for (size_t i = from; i + kConsecutiveSeconds <= by_second.size(); ++i) {
    bool recovered = true;
    for (size_t k = i; k < i + kConsecutiveSeconds; ++k) {
      recovered =
          recovered && by_second[k].get<double>() >= kRecoveredAttainment;
    }
    if (recovered) return i - from;
  }
  return nullptr;
}

json LatencyHistogram(const run_record& record) {
  bh::histogram bins =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
          kBins, kMinMs, kMaxMs));
  for (const sample& outcome : record.samples) {
    if (outcome.complete) bins(outcome.answer_ms);
  }
  json rows = json::array();
  for (int i = 0; i < bins.axis().size(); ++i) {
    const double count = bins.at(i);
    if (count == 0) continue;
    rows.push_back({{"from_ms", Round(bins.axis().bin(i).lower())},
                    {"to_ms", Round(bins.axis().bin(i).upper())},
                    {"count", static_cast<uint64_t>(count)}});
  }
  return rows;
}

/// @return counters and target time of each pool that received requests
json PoolCosts(const run_record& record, size_t complete) {
  json pools = json::array();
  const double answers = std::max<double>(1, static_cast<double>(complete));
  for (const auto& [name, cost] : record.pools) {
    if (cost.requests == 0) continue;
    const double wasted =
        cost.busy_seconds == 0 ? 0 : cost.wasted_seconds / cost.busy_seconds;
    pools.push_back({{"pool", name},
                     {"requests", cost.requests},
                     {"answered", cost.answered},
                     {"failed", cost.failed},
                     {"abandoned", cost.abandoned},
                     {"cache_hits", cost.cache_hits},
                     {"busy_seconds", Round(cost.busy_seconds)},
                     {"wasted_share", Round(wasted)},
                     {"target_ms_per_whole_answer",
                      Round(kMsPerSecond * cost.busy_seconds / answers)}});
  }
  return pools;
}

double WastedShare(const run_record& record) {
  double busy = 0;
  double wasted = 0;
  for (const auto& [name, cost] : record.pools) {
    busy += cost.busy_seconds;
    wasted += cost.wasted_seconds;
  }
  return busy == 0 ? 0 : wasted / busy;
}

void AddOutcomeCounts(const run_record& record, json* summary) {
  std::map<std::string, size_t> codes;
  size_t foreign = 0;
  uint64_t attempts = 0;
  uint64_t stages = 0;
  std::vector<double> send_delays;
  for (const sample& outcome : record.samples) {
    ++codes[outcome.code];
    if (outcome.foreign) ++foreign;
    attempts += outcome.attempts;
    stages += outcome.stages;
    send_delays.push_back(outcome.send_delay_ms);
  }
  (*summary)["codes"] = codes;
  (*summary)["foreign_answers"] = foreign;
  (*summary)["retries_per_request"] = Round(
      Share(attempts - std::min(attempts, stages), record.samples.size()));
  (*summary)["sent_late_p99_ms"] = Round(Quantile(&send_delays, 0.99));
}

json Sections(const load_plan& plan, const run_record& record) {
  json sections = {{"kinds", json::array()},
                   {"phases", json::array()},
                   {"organisations", json::array()}};
  for (size_t i = 0; i < plan.kinds.size(); ++i) {
    sections["kinds"].push_back(WithName(
        plan.kinds[i].name, Statistics(record, [i](const sample& outcome) {
          return outcome.planned.kind == i;
        })));
  }
  for (size_t i = 0; i < plan.phases.size(); ++i) {
    json statistics = Statistics(record, [i](const sample& outcome) {
      return outcome.planned.phase == i;
    });
    statistics["goodput_per_s"] =
        Round(statistics["in_time"].get<double>() / plan.phases[i].seconds);
    sections["phases"].push_back(WithName(plan.phases[i].name, statistics));
  }
  for (size_t i = 0; i < plan.organisations.size(); ++i) {
    sections["organisations"].push_back(
        WithName(plan.organisations[i].name,
                 Statistics(record, [i](const sample& outcome) {
                   return outcome.planned.organisation == i;
                 })));
  }
  return sections;
}

}  // namespace

std::string SummaryJson(const load_plan& plan, const run_record& record,
                        std::string_view command) {
  json summary = Statistics(record, [](const sample&) { return true; });
  summary.update(Sections(plan, record));
  summary["name"] = plan.name;
  summary["seed"] = plan.seed;
  summary["command"] = command;
  summary["seconds"] = plan.Seconds();
  summary["goodput_per_s"] =
      Round(summary["in_time"].get<double>() / plan.Seconds());
  summary["fairness"] = Round(Fairness(summary["organisations"]));
  summary["attainment_by_second"] = AttainmentBySecond(plan, record);
  summary["recovery_seconds"] =
      RecoverySeconds(plan, summary["attainment_by_second"]);
  summary["latency_histogram"] = LatencyHistogram(record);
  summary["cost"] = PoolCosts(record, summary["whole"].get<size_t>());
  summary["wasted_share"] = Round(WastedShare(record));
  summary["platform_reads_per_s"] =
      Round(static_cast<double>(record.platform_reads) / plan.Seconds());
  summary["platform_writes_per_s"] =
      Round(static_cast<double>(record.platform_writes) / plan.Seconds());
  json steps = json::array();
  for (const fault_step& step : plan.steps) {
    steps.push_back(
        {{"at", step.at_seconds},
         {"what", step.note.empty() ? step.faults_json : step.note}});
  }
  summary["steps"] = steps;
  AddOutcomeCounts(record, &summary);
  return summary.dump(1);
}

}  // namespace wisteriadale::load
