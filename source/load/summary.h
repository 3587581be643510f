#pragma once

#include <string>
#include <string_view>

#include "load/sample.h"

namespace wisteriadale::load {

/// Computes the statistics of a run.
/// @param command the command line that reproduces the run
/// @return a JSON document; attainment is the share of all requests, including
/// failed and unanswered ones, that were answered completely and correctly
/// within their deadline
std::string SummaryJson(const load_plan& plan, const run_record& record,
                        std::string_view command);

/// @return a self-contained HTML page with plots and tables
std::string ReportHtml(std::string_view summary_json);

}  // namespace wisteriadale::load
