#include "core/fleet/target_statements.h"

#include <algorithm>

#include "common/decimal.h"
#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

using common::log_event;

// A longer back-off is more likely a mistake than a plan: the target is tried
// again after this time.
constexpr common::duration kMaxBackOff = std::chrono::hours(1);

}  // namespace

void ParseLeaving(std::span<const std::string_view> values,
                  target_statement* statement) {
  for (const std::string_view text : values) {
    const std::optional<double> value = common::ParseDecimal(text);
    if (!value) {
      statement->invalid = true;
    } else if (*value != 0) {
      statement->leaving = true;
    }
  }
}

void ParseBackOff(std::span<const std::string_view> values,
                  target_statement* statement) {
  for (const std::string_view text : values) {
    const std::optional<double> seconds = common::ParseDecimal(text);
    if (!seconds) {
      statement->invalid = true;
      continue;
    }
    const double longest = std::chrono::duration<double>(kMaxBackOff).count();
    const common::duration length =
        common::FromSeconds(std::min(*seconds, longest));
    statement->back_off =
        std::max(statement->back_off.value_or(common::duration(0)), length);
  }
}

void target_statements::OnResponse(const target_entry& target,
                                   const target_statement& statement,
                                   std::string_view request_id) {
  if (statement.invalid) {
    common::Metrics().Count("wisteria_statements_invalid_total",
                            {{"service", target.service}});
    common::LogEvent(log_event::kStatementInvalid, request_id,
                     {{"target", target.id}, {"service", target.service}});
  }
  if (statement.leaving) {
    targets_.MarkLeaving({target.id, target.started_ms},
                         leaving_reason::kStated);
  }
  if (statement.back_off && statement.back_off->count() > 0) {
    OnBackOff(target, *statement.back_off, request_id);
  }
}

void target_statements::OnBackOff(const target_entry& target,
                                  common::duration length,
                                  std::string_view request_id) {
  const common::time_point now = clock_.Now();
  std::erase_if(back_offs_,
                [now](const auto& each) { return each.second.until <= now; });
  back_off& known = back_offs_[target.id];
  if (known.started_ms > target.started_ms) return;
  if (known.started_ms < target.started_ms) known = {target.started_ms, {}};
  const common::time_point until = now + length;
  if (until <= known.until) return;
  known.until = until;
  common::Metrics().Count("wisteria_back_offs_total",
                          {{"service", target.service}});
  common::LogEvent(log_event::kTargetBacksOff, request_id,
                   {{"target", target.id},
                    {"service", target.service},
                    {"for_ms", common::ToMillis(length)}});
}

common::duration target_statements::BackOffLeft(
    const target_entry& target) const {
  const auto found = back_offs_.find(target.id);
  if (found == back_offs_.end() ||
      found->second.started_ms != target.started_ms) {
    return common::duration(0);
  }
  return std::max(common::duration(0), found->second.until - clock_.Now());
}

}  // namespace wisteriadale::core
