#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "load/summary.h"

namespace wisteriadale::load {
namespace {

using nlohmann::json;

constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 200;
constexpr double kPlotMargin = 40;
constexpr char kStyle[] =
    "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    "svg{background:#fafafa;border:1px solid #ddd}"
    "text{font:11px sans-serif;fill:#444}"
    "code{background:#f0f0f0;padding:2px 4px;word-break:break-all}";

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else if (c == '"') {
      escaped += "&quot;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string EscapedText(const json& value) {
  return EscapeHtml(value.is_string() ? value.get<std::string>()
                                      : value.dump());
}

/// Builds a plot as inline SVG. Coordinates are fractions of its width and
/// height, from the bottom left corner.
class svg_plot {
 public:
  svg_plot() {
    svg_ << "<svg width=\"" << kPlotWidth + 2 * kPlotMargin << "\" height=\""
         << kPlotHeight + 2 * kPlotMargin << "\">";
  }
  void Bar(double x, double width, double height, const std::string& title) {
    svg_ << "<rect x=\"" << kPlotMargin + x * kPlotWidth << "\" y=\""
         << Y(height) << "\" width=\"" << std::max(1.0, width * kPlotWidth - 1)
         << "\" height=\"" << height * kPlotHeight
         << "\" fill=\"#5b7db1\"><title>" << EscapeHtml(title)
         << "</title></rect>";
  }
  /// Adds a point to the plot's line.
  void Point(double x, double y) {
    points_ << kPlotMargin + x * kPlotWidth << "," << Y(y) << " ";
  }
  /// Adds a dashed vertical line with a tooltip.
  void VerticalLine(double x, const std::string& title) {
    const double at = kPlotMargin + x * kPlotWidth;
    svg_ << "<line x1=\"" << at << "\" x2=\"" << at << "\" y1=\"" << kPlotMargin
         << "\" y2=\"" << kPlotMargin + kPlotHeight
         << "\" stroke=\"#b44\" stroke-dasharray=\"4\"><title>"
         << EscapeHtml(title) << "</title></line>";
  }
  void Label(double x, double y, const std::string& text) {
    svg_ << "<text x=\"" << kPlotMargin + x * kPlotWidth << "\" y=\"" << Y(y)
         << "\">" << EscapeHtml(text) << "</text>";
  }
  /// @return the SVG element, with the line through all points
  std::string Render() {
    const std::string points = points_.str();
    if (!points.empty()) {
      svg_ << "<polyline fill=\"none\" stroke=\"#2a6\" stroke-width=\"2\" "
              "points=\""
           << points << "\"/>";
    }
    svg_ << "</svg>";
    return svg_.str();
  }

 private:
  static double Y(double share) {
    return kPlotMargin + (1 - share) * kPlotHeight;
  }
  std::ostringstream svg_;
  std::ostringstream points_;
};

std::string HistogramPlot(const json& rows) {
  svg_plot plot;
  double max_value = 1;
  for (const json& row : rows) {
    max_value = std::max(max_value, row["count"].get<double>());
  }
  if (!rows.empty()) {
    const double low = std::log(rows.front()["from_ms"].get<double>());
    const double range = std::log(rows.back()["to_ms"].get<double>()) - low;
    for (const json& row : rows) {
      const double x = (std::log(row["from_ms"].get<double>()) - low) / range;
      const double end = (std::log(row["to_ms"].get<double>()) - low) / range;
      plot.Bar(x, end - x, row["count"].get<double>() / max_value,
               row["from_ms"].dump() + " ms: " + row["count"].dump());
    }
    plot.Label(0, -0.08, rows.front()["from_ms"].dump() + " ms");
    plot.Label(0.9, -0.08, rows.back()["to_ms"].dump() + " ms (log)");
  }
  return plot.Render();
}

std::string AttainmentPlot(const json& summary) {
  svg_plot plot;
  const json& series = summary["attainment_by_second"];
  const double seconds = static_cast<double>(series.size());
  for (size_t i = 0; i < series.size(); ++i) {
    plot.Point((static_cast<double>(i) + 0.5) / seconds,
               series[i].get<double>());
  }
  for (const json& step : summary["steps"]) {
    plot.VerticalLine(step["at"].get<double>() / seconds, step["what"].dump());
  }
  plot.Label(-0.05, 1, "100%");
  plot.Label(-0.05, 0, "0%");
  plot.Label(0.95, -0.08,
             series.empty() ? "" : std::to_string(series.size()) + " s");
  return plot.Render();
}

std::string CostPlot(const json& cost) {
  svg_plot plot;
  double max_value = 1e-9;
  for (const json& pool : cost) {
    max_value =
        std::max(max_value, pool["target_ms_per_whole_answer"].get<double>());
  }
  const double count = std::max<double>(1, static_cast<double>(cost.size()));
  for (size_t i = 0; i < cost.size(); ++i) {
    const double value = cost[i]["target_ms_per_whole_answer"].get<double>();
    const double x = static_cast<double>(i) / count;
    plot.Bar(x, 0.8 / count, value / max_value, cost[i]["pool"].dump());
    plot.Label(x, value / max_value + 0.02,
               cost[i]["target_ms_per_whole_answer"].dump());
    plot.Label(x, -0.08, cost[i]["pool"].get<std::string>());
  }
  return plot.Render();
}

std::string Table(const json& rows, const std::vector<std::string>& columns) {
  std::ostringstream out;
  out << "<table><tr>";
  for (const std::string& column : columns) {
    out << "<th>" << EscapeHtml(column) << "</th>";
  }
  out << "</tr>";
  for (const json& row : rows) {
    out << "<tr>";
    for (const std::string& column : columns) {
      out << "<td>" << (row.contains(column) ? EscapedText(row[column]) : "")
          << "</td>";
    }
    out << "</tr>";
  }
  out << "</table>";
  return out.str();
}

}  // namespace

std::string ReportHtml(std::string_view summary_json) {
  const json summary = json::parse(summary_json, nullptr, false);
  if (!summary.is_object()) return "";
  const std::vector<std::string> latency = {"name",
                                            "offered",
                                            "attainment",
                                            "answer_p50_ms",
                                            "answer_p99_ms",
                                            "first_token_p50_ms",
                                            "first_token_p99_ms"};
  json codes = json::array();
  for (const auto& [code, count] : summary["codes"].items()) {
    codes.push_back({{"code", code}, {"count", count}});
  }
  std::ostringstream out;
  out << "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>"
      << EscapedText(summary["name"]) << "</title><style>" << kStyle
      << "</style><h1>" << EscapedText(summary["name"]) << "</h1><p>Seed "
      << summary["seed"] << ", " << summary["seconds"] << " s, attainment "
      << summary["attainment"] << ", goodput " << summary["goodput_per_s"]
      << "/s, retries per request " << summary["retries_per_request"]
      << ", wasted target time " << summary["wasted_share"] << ", fairness "
      << summary["fairness"] << ", recovery (s) " << summary["recovery_seconds"]
      << ".</p><p>To reproduce: <code>" << EscapedText(summary["command"])
      << "</code></p><h2>Attainment over time</h2>" << AttainmentPlot(summary)
      << "<h2>Time to the complete answer</h2>"
      << HistogramPlot(summary["latency_histogram"])
      << "<h2>Cost by stage (target ms per complete answer)</h2>"
      << CostPlot(summary["cost"])
      << Table(summary["cost"], {"pool", "requests", "answered", "failed",
                                 "abandoned", "cache_hits", "busy_seconds",
                                 "wasted_share", "target_ms_per_whole_answer"})
      << "<h2>Phases</h2>" << Table(summary["phases"], latency)
      << "<h2>Request kinds</h2>" << Table(summary["kinds"], latency)
      << "<h2>Organisations</h2>" << Table(summary["organisations"], latency)
      << "<h2>Result codes</h2>" << Table(codes, {"code", "count"})
      << "</html>\n";
  return out.str();
}

}  // namespace wisteriadale::load
