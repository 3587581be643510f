#include "router/control_plane.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/digest.h"
#include "common/metrics.h"

namespace wisteriadale::router {
namespace {

using nlohmann::json;

constexpr common::duration kTickPeriod = std::chrono::seconds(1);
constexpr common::duration kDrainRowRetryDelay = std::chrono::seconds(1);
// About ten minutes of tries with the delay above.
constexpr int kMaxDrainRowTries = 600;
// Hash seed of the ranking of contenders; must be the same in all routers.
constexpr uint64_t kLeaseSeed = 3;
// Routers that contend for one lease; further ones would only read the row.
constexpr size_t kMaxContenders = 2;

core::distribution_options DistributionOptions(
    const control_plane_dependencies& dependencies) {
  core::distribution_options options;
  options.name = dependencies.hello.name;
  options.data_centre = dependencies.hello.data_centre;
  options.poll_period = dependencies.poll_period;
  return options;
}

}  // namespace

control_plane::control_plane(const control_plane_dependencies& dependencies)
    : dependencies_(dependencies),
      members_({dependencies.hello.name}, dependencies.targets,
               dependencies.clock),
      configuration_(dependencies.rows, dependencies.objects, dependencies.loop,
                     dependencies.clock, dependencies.random, *this,
                     DistributionOptions(dependencies)),
      orders_({dependencies.hello.name}, *this, dependencies.loop,
              dependencies.clock, dependencies.random),
      blocked_({}, dependencies.rows, *this, dependencies.loop,
               dependencies.clock),
      peers_(dependencies.loop, dependencies.clock, dependencies.hello, *this) {
  live_routers_[dependencies.hello.name] = dependencies.hello.data_centre;
  members_.SetObserver(this);
  dependencies.agents.SetListener(this);
  configuration_.holder().OnChange(
      [this](const std::shared_ptr<const core::configuration>& changed) {
        members_.SetDrainedDataCentres(changed->Preset().drained_data_centres);
        common::Metrics().Set("wisteria_configuration_version",
                              static_cast<double>(changed->version));
        common::Metrics().Set(
            "wisteria_configuration_adopted_wall_us",
            static_cast<double>(dependencies_.clock.WallMicros()));
      });
}

void control_plane::Start() {
  configuration_.Start();
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
  dependencies_.loop.Schedule(kTickPeriod, [this] { Tick(); });
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
  dependencies_.agents.Send(target, message);
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
  for (const core::target_view* view : dependencies_.targets.All()) {
    dependencies_.agents.Send(view->id, message);
  }
  return true;
}

void control_plane::OnMemberAddress(const core::vm_entry& member) {
  if (member.role == core::vm_role::kTarget) {
    dependencies_.agents.SetAgent(member.name, {member.address, member.port});
    return;
  }
  configuration_.distributor().OnRouterListed(member.name, member.data_centre);
  peers_.SetPeer(member.name, {member.address, member.port});
}

void control_plane::OnLeavingChanged(const core::vm_entry& member,
                                     bool leaving) {
  if (member.role != core::vm_role::kTarget) return;
  // From then on the agent also refuses work from routers that have read only
  // an older list.
  core::order_message order;
  order.order_id = dependencies_.random.HexId();
  order.kind = leaving ? "drain" : "undrain";
  order.target = member.name;
  order.authority = "vm-list";
  dependencies_.agents.Send(member.name, order);
}

void control_plane::OnMemberRemoved(const core::vm_entry& member) {
  if (member.role == core::vm_role::kTarget) {
    dependencies_.agents.Remove(member.name);
    configuration_.distributor().OnAgentDisconnected(member.name);
    return;
  }
  peers_.Remove(member.name);
  configuration_.distributor().OnRouterGone(member.name);
}

void control_plane::OnPeerOpen(const core::hello_message& hello) {
  live_routers_[hello.name] = hello.data_centre;
  members_.OnConnected(hello.name, hello.incarnation);
  configuration_.distributor().OnRouterConnected(hello.name, hello.data_centre,
                                                 hello.configuration_version);
}

void control_plane::OnPeerClosed(std::string_view router) {
  live_routers_.erase(std::string(router));
  members_.OnDisconnected(router);
  configuration_.distributor().OnRouterDisconnected(router);
}

void control_plane::OnPeerMessage(std::string_view router,
                                  const core::message& message) {
  if (const auto* ping = std::get_if<core::ping_message>(&message)) {
    configuration_.distributor().OnRouterVersion(router,
                                                 ping->configuration_version);
    // Pings that only announce a version carry no sequence and no hash.
    if (ping->sequence != 0) blocked_.OnPeerHash(router, ping->quarantine_hash);
  } else if (const auto* told =
                 std::get_if<core::quarantine_message>(&message)) {
    blocked_.OnMessage(*told);
  } else if (const auto* document =
                 std::get_if<core::configuration_message>(&message)) {
    configuration_.distributor().OnConfiguration(router, *document);
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
  ping.configuration_version = configuration_.holder().version();
  ping.quarantine_hash = blocked_.Hash();
  return ping;
}

void control_plane::OnAgentOpen(std::string_view target,
                                const core::hello_message& hello) {
  members_.OnConnected(target, hello.incarnation);
  configuration_.distributor().OnAgentVersion(target,
                                              hello.configuration_version);
  const core::vm_entry* member = members_.Find(target);
  if (member != nullptr && member->state == core::vm_state::kLeaving) {
    OnLeavingChanged(*member, true);
  }
}

void control_plane::OnAgentClosed(std::string_view target) {
  members_.OnDisconnected(target);
  configuration_.distributor().OnAgentDisconnected(target);
}

void control_plane::OnAgentMessage(std::string_view target,
                                   const core::message& message) {
  if (const auto* ping = std::get_if<core::ping_message>(&message)) {
    configuration_.distributor().OnAgentVersion(target,
                                                ping->configuration_version);
  } else if (const auto* answer =
                 std::get_if<core::order_answer_message>(&message)) {
    orders_.OnAnswer(*answer);
  }
}

bool control_plane::ShouldContend(const std::string& data_centre) const {
  std::vector<std::string> contenders;
  for (const auto& [name, home] : live_routers_) {
    if (home == data_centre) contenders.push_back(name);
  }
  if (contenders.empty()) {
    for (const auto& [name, home] : live_routers_) contenders.push_back(name);
  }
  std::sort(contenders.begin(), contenders.end(),
            [&data_centre](const std::string& a, const std::string& b) {
              const uint64_t seed = common::Hash64(data_centre, kLeaseSeed);
              return common::Hash64(a, seed) < common::Hash64(b, seed);
            });
  if (contenders.size() > kMaxContenders) contenders.resize(kMaxContenders);
  return std::find(contenders.begin(), contenders.end(),
                   dependencies_.hello.name) != contenders.end();
}

void control_plane::ContendForLeases() {
  std::set<std::string> data_centres;
  for (const core::target_view* view : dependencies_.targets.All()) {
    data_centres.insert(view->data_centre);
  }
  for (const std::string& data_centre : data_centres) {
    const bool contend = ShouldContend(data_centre);
    std::unique_ptr<core::lease_keeper>& lease = leases_[data_centre];
    if (!lease) {
      core::lease_keeper_options options;
      options.key = core::ControllerLeaseKey(data_centre);
      options.holder = dependencies_.hello.name;
      lease = std::make_unique<core::lease_keeper>(
          options, dependencies_.rows, dependencies_.loop, dependencies_.clock,
          dependencies_.random);
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
  return dependencies_.agents.Send(target, order);
}

bool control_plane::ForwardOrder(std::string_view router,
                                 const core::order_message& order) {
  return peers_.Send(router, order);
}

void control_plane::OnForwardedOrder(std::string_view router,
                                     const core::order_message& order) {
  // Only the holder accepts it, which prevents forwarding loops.
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
                               const std::string& operator_name,
                               core::order_controller::state_handler handler) {
  WriteDrainRow(target, drained, operator_name, kMaxDrainRowTries);
  core::order_request request;
  request.target = target;
  request.kind = drained ? "drain" : "undrain";
  request.requested_by = operator_name;
  orders_.Submit(std::move(request), std::move(handler));
}

void control_plane::WriteDrainRow(const std::string& target, bool drained,
                                  const std::string& operator_name,
                                  int tries_left) {
  if (tries_left == 0) return;
  const std::string key = "drains/" + target;
  const std::string value = json{{"drained", drained},
                                 {"who", operator_name},
                                 {"wall_us", dependencies_.clock.WallMicros()}}
                                .dump();
  const std::function<void()> retry = [this, target, drained, operator_name,
                                       tries_left] {
    dependencies_.loop.Schedule(
        kDrainRowRetryDelay,
        [this, target, drained, operator_name, tries_left] {
          WriteDrainRow(target, drained, operator_name, tries_left - 1);
        });
  };
  dependencies_.rows.Read(
      key, core::table_priority::kOther,
      [this, key, value, retry](const core::table_result& row_read) {
        if (row_read.status != core::table_status::kOk) {
          retry();
          return;
        }
        dependencies_.rows.Write(
            key, row_read.row.version, value, core::table_priority::kOther,
            [retry](const core::table_result& written) {
              if (written.status != core::table_status::kOk) {
                retry();
              }
            });
      });
}

}  // namespace wisteriadale::router
