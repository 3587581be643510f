#include "agent/agent_control.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/invariant.h"
#include "common/last_error.h"
#include "common/log.h"
#include "common/metrics.h"
#include "core/lease/lease_record.h"
#include "net/http_client.h"
#include "wire/codec.h"

namespace wisteriadale::agent {
namespace {

using common::log_channel;
using common::log_level;
using common::result_code;
using nlohmann::json;

constexpr common::duration kDrainRowRetryDelay = std::chrono::seconds(1);
// Loading a model takes minutes, and the target answers only at its end.
constexpr common::duration kOrderTimeout = std::chrono::minutes(10);
// An agent that has no router at such a check announces itself.
constexpr common::duration kRouterCheckPeriod = std::chrono::seconds(2);
// Routers that an agent announces itself to. They do not pass it on.
constexpr size_t kMaxAnnounceRouters = 16;

core::fenced_order_queue_options OrderQueueOptions(
    const agent_control_dependencies& dependencies) {
  core::fenced_order_queue_options options;
  options.lease_key = core::ControllerLeaseKey(dependencies.data_centre);
  options.target_checks_authority = dependencies.target_checks_authority;
  return options;
}

result_code OrderResultCode(const net::http_result& result) {
  if (result.status == 0) return result_code::kTargetLost;
  if (result.status == 200) return result_code::kOk;
  if (result.status == 409) return result_code::kStaleOrder;
  if (result.status == 403) return result_code::kForbidden;
  return result_code::kTargetFailed;
}

}  // namespace

agent_control::agent_control(const agent_control_dependencies& dependencies)
    : dependencies_(dependencies),
      order_queue_(OrderQueueOptions(dependencies), *this, dependencies.rows,
                   dependencies.loop) {}

void agent_control::Start(const core::hello_message& announcement) {
  announcement_ = announcement;
  ReadDrainRow();
  dependencies_.loop.Schedule(kRouterCheckPeriod, [this] { CheckRouters(); });
}

void agent_control::ReadDrainRow() {
  dependencies_.rows.Read(
      "drains/" + dependencies_.name, core::table_priority::kOther,
      [this](const core::table_result& answer) {
        if (answer.status != core::table_status::kOk) {
          dependencies_.loop.Schedule(kDrainRowRetryDelay,
                                      [this] { ReadDrainRow(); });
          return;
        }
        const json row = json::parse(answer.row.value, nullptr, false);
        if (!row.is_object() || !row.value("drained", false)) return;
        SetDrained("operator", true);
      });
}

void agent_control::CheckRouters() {
  dependencies_.loop.Schedule(kRouterCheckPeriod, [this] { CheckRouters(); });
  announcement_channels_.clear();
  if (!routers_.empty()) return;
  dependencies_.vms.Fetch(
      [this](const std::optional<std::vector<core::vm_entry>>& entries) {
        if (entries && routers_.empty()) Announce(*entries);
      });
}

void agent_control::Announce(const std::vector<core::vm_entry>& entries) {
  size_t announced = 0;
  for (const core::vm_entry& entry : entries) {
    if (entry.role != core::vm_role::kRouter) continue;
    if (++announced > kMaxAnnounceRouters) break;
    net::DialChannel(dependencies_.loop, {entry.address, entry.port},
                     [this](std::shared_ptr<net::channel> channel) {
                       if (!channel) return;
                       channel->Send(wire::Encode(announcement_));
                       // Kept open until the next check, so that the router
                       // has time to read the message.
                       announcement_channels_.push_back(std::move(channel));
                     });
  }
}

void agent_control::OnHello(core::router_connection_id link,
                            const core::hello_message& hello) {
  if (hello.is_router) routers_[link] = hello.name;
}

void agent_control::OnLinkClosed(core::router_connection_id link) {
  routers_.erase(link);
}

void agent_control::OnOrder(core::router_connection_id link,
                            const core::order_message& order) {
  core::order_answer_message refusal;
  refusal.order_id = order.order_id;
  if (!routers_.contains(link) || order.target != dependencies_.name) {
    refusal.code = result_code::kForbidden;
    refusal.reason =
        "the order is for another target or was not sent by a router";
    dependencies_.routers.Send(link, refusal);
    return;
  }
  order_queue_.OnOrder(order,
                       [this, link](const core::order_answer_message& answer) {
                         dependencies_.routers.Send(link, answer);
                       });
}

void agent_control::OnConfiguration(
    const core::configuration_message& message) {
  // A process never goes back to an older version.
  if (message.version <= configuration_.version) return;
  const std::optional<core::agent_configuration> parsed =
      core::ParseAgentConfiguration(message.document, message.version);
  if (!parsed) {
    common::Log(log_channel::kConfiguration, log_level::kError,
                "version " + std::to_string(message.version) +
                    " cannot be parsed: " + common::LastError().text);
    return;
  }
  common::CheckInvariant(parsed->version > configuration_.version,
                         "configuration_never_steps_down",
                         std::to_string(parsed->version));
  configuration_ = *parsed;
  common::Metrics().Set("wisteria_configuration_version",
                        static_cast<double>(configuration_.version));
  common::Metrics().Set("wisteria_configuration_adopted_wall_us",
                        static_cast<double>(dependencies_.clock.WallMicros()));
  const std::vector<std::string>& drained =
      configuration_.preset.drained_data_centres;
  SetDrained("preset", std::find(drained.begin(), drained.end(),
                                 dependencies_.data_centre) != drained.end());
}

void agent_control::SetDrained(std::string_view reason, bool drained) {
  if (!drain_reasons_.Set(reason, drained)) return;
  common::Log(
      log_channel::kMembership, log_level::kInfo,
      std::string(drain_reasons_.draining()
                      ? "accepts no new work, reason: "
                      : "accepts new work again, last reason cleared: ") +
          std::string(reason));
  if (drain_reasons_.draining()) {
    dependencies_.scheduler.Drain({});
  } else {
    dependencies_.scheduler.EndDrain();
  }
  dependencies_.broadcast_load();
}

void agent_control::Apply(const core::order_message& order,
                          order_handler handler) {
  net::http_call call;
  call.method = "POST";
  call.to = dependencies_.target;
  call.path = "/order";
  call.headers = {{"content-type", "application/json"},
                  {"fencing-number", std::to_string(order.fencing_number)}};
  call.body = json{{"order_id", order.order_id},
                   {"fencing_number", order.fencing_number},
                   {"kind", order.kind},
                   {"argument", order.argument},
                   {"authority", order.authority}}
                  .dump();
  call.timeout = kOrderTimeout;
  net::StartHttpCall(
      dependencies_.loop, std::move(call),
      [handler = std::move(handler)](const net::http_result& result) {
        handler(OrderResultCode(result),
                result.status == 0 ? result.failure : result.body);
      });
}

}  // namespace wisteriadale::agent
