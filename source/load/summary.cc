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
// Bins of 12% from 0.1 ms to 100 s.
constexpr unsigned kBins = 120;
constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 100000;
constexpr double kRecoveredAttainment = 0.99;
// One second may be empty or lucky.
constexpr size_t kSecondsInARow = 2;

using chosen = std::function<bool(const sample&)>;

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

double Share(size_t part, size_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// Figures of the requests that a test picks.
json Figures(const run_record& record, const chosen& picks) {
  size_t offered = 0;
  size_t whole = 0;
  size_t in_time = 0;
  std::vector<double> answers;
  std::vector<double> first_tokens;
  for (const sample& ended : record.samples) {
    if (!picks(ended)) continue;
    ++offered;
    if (ended.first_token_ms >= 0) {
      first_tokens.push_back(ended.first_token_ms);
    }
    if (!ended.whole) continue;
    ++whole;
    if (ended.in_time) ++in_time;
    answers.push_back(ended.answer_ms);
  }
  return {{"offered", offered},
          {"whole", whole},
          {"in_time", in_time},
          {"attainment", Round(Share(in_time, offered))},
          {"answer_p50_ms", Round(Quantile(&answers, 0.5))},
          {"answer_p99_ms", Round(Quantile(&answers, 0.99))},
          {"first_token_p50_ms", Round(Quantile(&first_tokens, 0.5))},
          {"first_token_p99_ms", Round(Quantile(&first_tokens, 0.99))}};
}

json Named(const std::string& name, json figures) {
  figures["name"] = name;
  return figures;
}

/// @return Jain's index of the attainments: 1 when all are equal
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

json AttainmentBySecond(const load_plan& plan, const run_record& record) {
  const size_t seconds = static_cast<size_t>(std::ceil(plan.Seconds()));
  std::vector<size_t> offered(seconds);
  std::vector<size_t> in_time(seconds);
  for (const sample& ended : record.samples) {
    const size_t at =
        std::min(seconds - 1, static_cast<size_t>(ended.planned.at_seconds));
    ++offered[at];
    if (ended.in_time) ++in_time[at];
  }
  json series = json::array();
  for (size_t i = 0; i < seconds; ++i) {
    // A second without requests lost none.
    series.push_back(offered[i] == 0 ? 1
                                     : Round(Share(in_time[i], offered[i])));
  }
  return series;
}

/// @return seconds from the end of the disturbance to the first of two seconds
/// in a row whose requests attain 99%; null when there are none
json Recovery(const load_plan& plan, const json& by_second) {
  if (plan.recovery_from_seconds < 0) return nullptr;
  const size_t from =
      static_cast<size_t>(std::ceil(plan.recovery_from_seconds));
  for (size_t i = from; i + kSecondsInARow <= by_second.size(); ++i) {
    bool recovered = true;
    for (size_t k = i; k < i + kSecondsInARow; ++k) {
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
          kBins, kLowestMs, kHighestMs));
  for (const sample& ended : record.samples) {
    if (ended.whole) bins(ended.answer_ms);
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

json Costs(const run_record& record, size_t whole) {
  json pools = json::array();
  const double answers = std::max<double>(1, static_cast<double>(whole));
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

void AddErrors(const run_record& record, json* summary) {
  std::map<std::string, size_t> codes;
  size_t foreign = 0;
  uint64_t attempts = 0;
  uint64_t stages = 0;
  std::vector<double> late;
  for (const sample& ended : record.samples) {
    ++codes[ended.code];
    if (ended.foreign) ++foreign;
    attempts += ended.attempts;
    stages += ended.stages;
    late.push_back(ended.sent_late_ms);
  }
  (*summary)["codes"] = codes;
  (*summary)["foreign_answers"] = foreign;
  (*summary)["retries_per_request"] = Round(
      Share(attempts - std::min(attempts, stages), record.samples.size()));
  (*summary)["sent_late_p99_ms"] = Round(Quantile(&late, 0.99));
}

json SectionsOf(const load_plan& plan, const run_record& record) {
  json sections = {{"kinds", json::array()},
                   {"phases", json::array()},
                   {"organisations", json::array()}};
  for (size_t i = 0; i < plan.kinds.size(); ++i) {
    sections["kinds"].push_back(
        Named(plan.kinds[i].name, Figures(record, [i](const sample& ended) {
                return ended.planned.kind == i;
              })));
  }
  for (size_t i = 0; i < plan.phases.size(); ++i) {
    json figures = Figures(
        record, [i](const sample& ended) { return ended.planned.phase == i; });
    figures["goodput_per_s"] =
        Round(figures["in_time"].get<double>() / plan.phases[i].seconds);
    sections["phases"].push_back(Named(plan.phases[i].name, figures));
  }
  for (size_t i = 0; i < plan.organisations.size(); ++i) {
    sections["organisations"].push_back(Named(
        plan.organisations[i].name, Figures(record, [i](const sample& ended) {
          return ended.planned.organisation == i;
        })));
  }
  return sections;
}

}  // namespace

std::string SummaryJson(const load_plan& plan, const run_record& record,
                        std::string_view command) {
  json summary = Figures(record, [](const sample&) { return true; });
  summary.update(SectionsOf(plan, record));
  summary["name"] = plan.name;
  summary["seed"] = plan.seed;
  summary["command"] = command;
  summary["seconds"] = plan.Seconds();
  summary["goodput_per_s"] =
      Round(summary["in_time"].get<double>() / plan.Seconds());
  summary["fairness"] = Round(Fairness(summary["organisations"]));
  summary["attainment_by_second"] = AttainmentBySecond(plan, record);
  summary["recovery_seconds"] = Recovery(plan, summary["attainment_by_second"]);
  summary["latency_histogram"] = LatencyHistogram(record);
  summary["cost"] = Costs(record, summary["whole"].get<size_t>());
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
  AddErrors(record, &summary);
  return summary.dump(1);
}

}  // namespace wisteriadale::load
