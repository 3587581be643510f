#include "router/control_plane.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/metrics.h"

namespace wisteriadale::router {
namespace {

using nlohmann::json;

constexpr common::duration kTickPeriod = std::chrono::seconds(1);
constexpr common::duration kDrainRowRetry = std::chrono::seconds(1);
constexpr int kDrainRowTries = 600;
constexpr uint64_t kLeaseSeed = 3;
// Routers that contend for one lease; more would only read the row.
constexpr size_t kContenders = 2;

core::distribution_options SpreadOptions(
    const control_plane_dependencies& environment) {
  core::distribution_options options;
  options.name = environment.hello.name;
  options.data_centre = environment.hello.data_centre;
  options.poll_period = environment.poll_period;
  return options;
}

}  // namespace

control_plane::control_plane(const control_plane_dependencies& environment)
    : environment_(environment),
      members_({environment.hello.name}, environment.targets,
               environment.clock),
      watch_(environment.rows, environment.objects, environment.loop,
             environment.clock, environment.random, *this,
             SpreadOptions(environment)),
      orders_({environment.hello.name}, *this, environment.loop,
              environment.clock, environment.random),
      blocked_({}, environment.rows, *this, environment.loop,
               environment.clock),
      peers_(environment.loop, environment.clock, environment.hello, *this) {
  live_routers_[environment.hello.name] = environment.hello.data_centre;
  members_.SetObserver(this);
  environment.agents.SetListener(this);
  watch_.holder().OnChange(
      [this](const std::shared_ptr<const core::configuration>& changed) {
        members_.SetDrainedDataCentres(changed->Preset().drained_data_centres);
        common::Metrics().Set("wisteria_configuration_version",
                              static_cast<double>(changed->version));
        common::Metrics().Set(
            "wisteria_configuration_adopted_wall_us",
            static_cast<double>(environment_.clock.WallMicros()));
      });
}

void control_plane::Start() {
  watch_.Start();
  blocked_.Load();
  peers_.Tick();
  Tick();
}

void control_plane::Stop() {
  for (const auto& [data_centre, lease] : leases_) lease->Release();
}

void control_plane::Tick() {
  members_.Sweep();
  ContendForLeases();
  environment_.loop.Schedule(kTickPeriod, [this] { Tick(); });
}

void control_plane::OnVmList(const std::vector<core::vm_entry>& entries) {
  members_.ApplyVmList(entries);
}

void control_plane::SendToRouter(std::string_view router,
                                 const core::message& message) {
  peers_.Send(router, message);
}

void control_plane::SendToAgent(std::string_view target,
                                const core::message& message) {
  environment_.agents.Send(target, message);
}

void control_plane::BroadcastQuarantine(
    const core::quarantine_message& message) {
  for (const auto& [name, data_centre] : live_routers_) {
    peers_.Send(name, message);
  }
}

void control_plane::SendQuarantine(std::string_view router,
                                   const core::quarantine_message& message) {
  peers_.Send(router, message);
}

bool control_plane::LiftQuarantine(const std::string& digest) {
  if (!blocked_.Lift(digest)) return false;
  core::quarantine_message message;
  message.digest = digest;
  message.lifted = true;
  for (const core::target_view* view : environment_.targets.All()) {
    environment_.agents.Send(view->id, message);
  }
  return true;
}

void control_plane::OnMemberAddress(const core::vm_entry& member) {
  if (member.role == core::vm_role::kTarget) {
    environment_.agents.SetAgent(member.name, {member.address, member.port});
    return;
  }
  watch_.spread().OnRouterListed(member.name, member.data_centre);
  peers_.SetPeer(member.name, {member.address, member.port});
}

void control_plane::OnLeavingChanged(const core::vm_entry& member,
                                     bool leaving) {
  if (member.role != core::vm_role::kTarget) return;
  // The agent refuses from then on, also what other routers send that read an
  // older list.
  core::order_message order;
  order.order_id = environment_.random.HexId();
  order.kind = leaving ? "drain" : "undrain";
  order.target = member.name;
  order.authority = "vm-list";
  environment_.agents.Send(member.name, order);
}

void control_plane::OnMemberRemoved(const core::vm_entry& member) {
  if (member.role == core::vm_role::kTarget) {
    environment_.agents.Forget(member.name);
    watch_.spread().OnAgentDisconnected(member.name);
    return;
  }
  peers_.Forget(member.name);
  watch_.spread().OnRouterGone(member.name);
}

void control_plane::OnPeerOpen(const core::hello_message& hello) {
  live_routers_[hello.name] = hello.data_centre;
  members_.OnConnected(hello.name, hello.incarnation);
  watch_.spread().OnRouterConnected(hello.name, hello.data_centre,
                                    hello.configuration_version);
}

void control_plane::OnPeerClosed(std::string_view router) {
  live_routers_.erase(std::string(router));
  members_.OnDisconnected(router);
  watch_.spread().OnRouterDisconnected(router);
}

void control_plane::OnPeerMessage(std::string_view router,
                                  const core::message& message) {
  if (const auto* ping = std::get_if<core::ping_message>(&message)) {
    watch_.spread().OnRouterVersion(router, ping->configuration_version);
    // Announcements of a version carry no sequence and no hash.
    if (ping->sequence != 0) blocked_.OnPeerHash(router, ping->quarantine_hash);
  } else if (const auto* told =
                 std::get_if<core::quarantine_message>(&message)) {
    blocked_.OnMessage(*told);
  } else if (const auto* document =
                 std::get_if<core::configuration_message>(&message)) {
    watch_.spread().OnConfiguration(router, *document);
  } else if (const auto* order = std::get_if<core::order_message>(&message)) {
    OnForwardedOrder(router, *order);
  } else if (const auto* answer =
                 std::get_if<core::order_answer_message>(&message)) {
    orders_.OnAnswer(*answer);
  }
}

void control_plane::OnAnnouncement(const core::vm_entry& entry) {
  members_.OnAnnouncement(entry);
}

core::ping_message control_plane::PeerPing() {
  core::ping_message ping;
  ping.configuration_version = watch_.holder().version();
  ping.quarantine_hash = blocked_.Hash();
  return ping;
}

void control_plane::OnAgentOpen(std::string_view target,
                                const core::hello_message& hello) {
  members_.OnConnected(target, hello.incarnation);
  watch_.spread().OnAgentVersion(target, hello.configuration_version);
  const core::vm_entry* member = members_.Find(target);
  if (member != nullptr && member->state == core::vm_state::kLeaving) {
    OnLeavingChanged(*member, true);
  }
}

void control_plane::OnAgentClosed(std::string_view target) {
  members_.OnDisconnected(target);
  watch_.spread().OnAgentDisconnected(target);
}

void control_plane::OnAgentMessage(std::string_view target,
                                   const core::message& message) {
  if (const auto* ping = std::get_if<core::ping_message>(&message)) {
    watch_.spread().OnAgentVersion(target, ping->configuration_version);
  } else if (const auto* answer =
                 std::get_if<core::order_answer_message>(&message)) {
    orders_.OnAnswer(*answer);
  }
}

bool control_plane::ShouldContend(const std::string& data_centre) const {
  std::vector<std::string> contenders;
  for (const auto& [name, where] : live_routers_) {
    if (where == data_centre) contenders.push_back(name);
  }
  if (contenders.empty()) {
    for (const auto& [name, where] : live_routers_) contenders.push_back(name);
  }
  std::sort(contenders.begin(), contenders.end(),
            [&data_centre](const std::string& a, const std::string& b) {
              const uint64_t seed = common::Hash64(data_centre, kLeaseSeed);
              return common::Hash64(a, seed) < common::Hash64(b, seed);
            });
  if (contenders.size() > kContenders) contenders.resize(kContenders);
  return std::find(contenders.begin(), contenders.end(),
                   environment_.hello.name) != contenders.end();
}

void control_plane::ContendForLeases() {
  std::set<std::string> data_centres;
  for (const core::target_view* view : environment_.targets.All()) {
    data_centres.insert(view->data_centre);
  }
  for (const std::string& data_centre : data_centres) {
    const bool contend = ShouldContend(data_centre);
    std::unique_ptr<core::lease_keeper>& lease = leases_[data_centre];
    if (!lease) {
      core::lease_keeper_options options;
      options.key = core::ControllerLeaseKey(data_centre);
      options.holder = environment_.hello.name;
      lease = std::make_unique<core::lease_keeper>(
          options, environment_.rows, environment_.loop, environment_.clock,
          environment_.random);
    }
    lease->SetContending(contend);
  }
}

std::vector<std::string> control_plane::HeldLeases() const {
  std::vector<std::string> held;
  for (const auto& [data_centre, lease] : leases_) {
    if (lease->Held()) held.push_back(data_centre);
  }
  return held;
}

core::order_network::lease_status control_plane::LeaseFor(
    std::string_view target) {
  const core::vm_entry* member = members_.Find(target);
  if (member == nullptr) return {};
  const auto lease = leases_.find(member->data_centre);
  if (lease == leases_.end()) return {};
  lease->second->ReadHolder();
  return {lease->second->Held(), lease->second->epoch(),
          lease->second->last_seen_holder()};
}

bool control_plane::SendOrder(std::string_view target,
                              const core::order_message& order) {
  return environment_.agents.Send(target, order);
}

bool control_plane::ForwardOrder(std::string_view router,
                                 const core::order_message& order) {
  return peers_.Send(router, order);
}

void control_plane::OnForwardedOrder(std::string_view router,
                                     const core::order_message& order) {
  // Only the holder takes it, so that it cannot go in circles.
  if (!LeaseFor(order.target).held) return;
  core::order_request request;
  request.order_id = order.order_id;
  request.target = order.target;
  request.kind = order.kind;
  request.argument = order.argument;
  request.requested_by = router;
  orders_.Submit(std::move(request), [this, router = std::string(router)](
                                         const core::order_state& state) {
    core::order_answer_message answer;
    answer.order_id = state.order.order_id;
    answer.code = state.code;
    answer.reason = state.reason;
    answer.fencing_number = state.order.fencing_number;
    peers_.Send(router, answer);
  });
}

void control_plane::SetDrained(const std::string& target, bool drained,
                               const std::string& who,
                               core::order_controller::state_handler handler) {
  WriteDrainRow(target, drained, who, kDrainRowTries);
  core::order_request request;
  request.target = target;
  request.kind = drained ? "drain" : "undrain";
  request.requested_by = who;
  orders_.Submit(std::move(request), std::move(handler));
}

void control_plane::WriteDrainRow(const std::string& target, bool drained,
                                  const std::string& who, int tries) {
  if (tries == 0) return;
  const std::string key = "drains/" + target;
  const std::string value = json{{"drained", drained},
                                 {"who", who},
                                 {"wall_us", environment_.clock.WallMicros()}}
                                .dump();
  const std::function<void()> again = [this, target, drained, who, tries] {
    environment_.loop.Schedule(kDrainRowRetry,
                               [this, target, drained, who, tries] {
                                 WriteDrainRow(target, drained, who, tries - 1);
                               });
  };
  environment_.rows.Read(
      key, core::table_priority::kOther,
      [this, key, value, again](const core::table_result& answer) {
        if (answer.status != core::table_status::kOk) {
          again();
          return;
        }
        environment_.rows.Write(
            key, answer.row.version, value, core::table_priority::kOther,
            [again](const core::table_result& written) {
              if (written.status != core::table_status::kOk) {
                again();
              }
            });
      });
}

}  // namespace wisteriadale::router
