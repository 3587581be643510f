#pragma once

#include <string>
#include <string_view>

#include "load/sample.h"

namespace wisteriadale::load {

/// Works out the figures of a run.
/// @param command the command line that reproduces it
/// @return a JSON document; attainment is the share of all requests, failed
/// and unanswered ones included, that were answered whole, with their own
/// answer, within their deadline
std::string SummaryJson(const load_plan& plan, const run_record& record,
                        std::string_view command);

/// @return one page with plots and tables, complete in itself
std::string ReportHtml(std::string_view summary_json);

}  // namespace wisteriadale::load
