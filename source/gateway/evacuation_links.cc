#include "gateway/evacuation_links.h"

#include <utility>

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::gateway {

evacuation_links::evacuation_links(core::evacuations& known,
                                   core::target_directory& targets,
                                   gateway_links& links,
                                   const common::clock& clock,
                                   std::function<bool()> reads_for_others)
    : known_(known),
      targets_(targets),
      links_(links),
      clock_(clock),
      reads_for_others_(std::move(reads_for_others)) {
  known_.SetChangeHandler(
      [this](const core::evacuation& change) { OnChange(change); });
}

void evacuation_links::OnMessage(const std::string& gateway,
                                 const core::evacuations_message& message) {
  source_ = gateway;
  for (const core::evacuation& each : message.statements) known_.Apply(each);
  source_.clear();
}

void evacuation_links::OnGatewayJoined(const std::string& gateway) {
  std::vector<core::evacuation> statements = known_.Statements();
  if (statements.empty()) return;
  links_.Send(gateway, core::evacuations_message{std::move(statements)});
}

void evacuation_links::OnChange(const core::evacuation& change) {
  const size_t count =
      targets_.SetEvacuated(change.data_centre, change.evacuated, clock_.Now());
  common::Metrics().Set("wisteria_data_centre_evacuated",
                        change.evacuated ? 1 : 0,
                        {{"data_centre", change.data_centre}});
  common::LogEvent(common::log_event::kEvacuationChanged, "",
                   {{"data_centre", change.data_centre},
                    {"evacuated", change.evacuated},
                    {"targets", static_cast<int64_t>(count)},
                    {"source", source_.empty() ? "store" : source_},
                    {"version", static_cast<int64_t>(change.at.version)},
                    {"era", static_cast<int64_t>(change.at.era)}});
  const core::evacuations_message message{{change}};
  if (source_.empty()) {
    links_.Broadcast(message);
  } else if (reads_for_others_()) {
    links_.BroadcastToDataCentre(message);
  }
}

}  // namespace wisteriadale::gateway
