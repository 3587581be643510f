#include "core/fleet/evacuations.h"

#include <algorithm>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

// Several times the data centres of the largest deployment.
constexpr size_t kMaxDataCentres = 256;

}  // namespace

bool evacuations::Apply(const evacuation& statement) {
  const auto found = known_.find(statement.data_centre);
  if (found == known_.end()) {
    if (known_.size() >= kMaxDataCentres && !DropOldest()) {
      common::Metrics().Count("wisteria_evacuations_refused_total");
      common::LogEvent(common::log_event::kEntryRefused, "",
                       {{"entry", statement.data_centre},
                        {"reason", "too many evacuated data centres"}});
      return false;
    }
    known_[statement.data_centre] = {statement.evacuated, statement.at};
    if (statement.evacuated && change_handler_) change_handler_(statement);
    return true;
  }
  if (!(found->second.at < statement.at)) return true;
  const bool changed = found->second.evacuated != statement.evacuated;
  found->second = {statement.evacuated, statement.at};
  if (changed && change_handler_) change_handler_(statement);
  return true;
}

void evacuations::ApplyAll(std::span<const evacuation> listed,
                           const store_point& at) {
  std::vector<evacuation> missing;
  for (const auto& [data_centre, known] : known_) {
    const std::string_view name = data_centre;
    const bool is_listed = std::any_of(
        listed.begin(), listed.end(),
        [name](const evacuation& each) { return each.data_centre == name; });
    if (known.evacuated && !is_listed) {
      missing.push_back({data_centre, false, at});
    }
  }
  for (const evacuation& each : listed) Apply(each);
  for (const evacuation& each : missing) Apply(each);
}

bool evacuations::IsEvacuated(std::string_view data_centre) const {
  const auto found = known_.find(data_centre);
  return found != known_.end() && found->second.evacuated;
}

std::vector<evacuation> evacuations::Statements() const {
  std::vector<evacuation> result;
  for (const auto& [data_centre, known] : known_) {
    result.push_back({data_centre, known.evacuated, known.at});
  }
  return result;
}

bool evacuations::DropOldest() {
  auto oldest = known_.end();
  for (auto each = known_.begin(); each != known_.end(); ++each) {
    if (each->second.evacuated) continue;
    if (oldest == known_.end() || each->second.at < oldest->second.at) {
      oldest = each;
    }
  }
  if (oldest == known_.end()) return false;
  known_.erase(oldest);
  return true;
}

}  // namespace wisteriadale::core
