#include "net/message_too_large.h"

#include "common/event_log.h"
#include "common/metrics.h"

namespace wisteriadale::net {

void ReportTooLarge(std::string_view kind, const exceeded_limit& limit,
                    std::string_view request_id, std::string_view peer) {
  const std::string_view part = ToString(limit.part);
  common::Metrics().Count("wisteria_messages_too_large_total",
                          {{"message", kind}, {"part", part}});
  common::LogEvent(common::log_event::kMessageTooLarge, request_id,
                   {{"message", kind},
                    {"part", part},
                    {"bytes", static_cast<int64_t>(limit.bytes)},
                    {"allowed", static_cast<int64_t>(limit.allowed)},
                    {"peer", peer}});
}

}  // namespace wisteriadale::net
