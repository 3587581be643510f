#include "unit_tests/longrun/simulation.h"

#include <array>

#include "common/invariant.h"

namespace wisteriadale::longrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRouters = 3;
constexpr size_t kTargetsPerPool = 3;
constexpr std::array<const char*, 3> kPools = {"plain", "engine", "orders"};
constexpr common::duration kMeanRequestGap = milliseconds(60);
constexpr common::duration kMeanFaultGap = milliseconds(1500);
constexpr common::duration kSettleTime = std::chrono::minutes(3);
constexpr common::duration kMaxPause = seconds(12);
constexpr common::duration kMaxOutage = seconds(8);
constexpr common::duration kMaxStall = seconds(40);

}  // namespace

simulation::simulation(const run_options& options)
    : options_(options),
      random_(options.seed),
      table_(time_, random_),
      routers_(kRouters),
      callers_(time_, random_, execution_log_, routers_) {
  for (const char* pool : kPools) {
    for (size_t i = 0; i < kTargetsPerPool; ++i) {
      target_node created;
      created.listing.id = std::string(pool) + std::to_string(i);
      created.listing.pool = pool;
      created.target = std::make_unique<fake_target>(created.listing.id, time_,
                                                     random_, execution_log_);
      nodes_.push_back(std::move(created));
    }
  }
  for (target_node& node : nodes_) StartAgent(&node);
  for (size_t i = 0; i < kRouters; ++i) StartRouter(i);
}

common::duration simulation::RandomUpTo(common::duration max) {
  return common::duration(1 + static_cast<int64_t>(random_.Below(
                                  static_cast<uint64_t>(max.count()))));
}

void simulation::StartRouter(size_t index) {
  routers_[index] = std::make_shared<router_node>(
      "router" + std::to_string(index), time_, table_, random_,
      [this](const std::string& target, const endpoint& router_end) {
        return Dial(target, router_end);
      });
  std::vector<target_listing> listings;
  for (const target_node& node : nodes_) listings.push_back(node.listing);
  routers_[index]->Start(listings);
}

void simulation::StartAgent(target_node* node) {
  node->draining = false;
  node->agent =
      std::make_shared<agent_node>(node->listing.id, next_incarnation_, time_,
                                   table_, random_, *node->target);
  // Production incarnations are random numbers, and therefore far apart.
  next_incarnation_ += uint64_t{1} << 32;
}

std::shared_ptr<connection> simulation::Dial(const std::string& target,
                                             const endpoint& router_end) {
  for (const target_node& node : nodes_) {
    if (node.listing.id != target || !node.agent) continue;
    std::shared_ptr<connection> link =
        std::make_shared<connection>(time_, random_);
    connections_.push_back(link);
    link->SetEndpoints(router_end, node.agent->Accept(link));
    return link;
  }
  return nullptr;
}

run_report simulation::Run() {
  CallerLoop();
  FaultLoop();
  time_.Advance(options_.duration);
  finished_ = true;
  ClearFaults();
  time_.Advance(kSettleTime);
  CheckQuiescent();
  run_report report;
  report.callers = callers_.counts();
  report.faults = faults_;
  report.operations_run = execution_log_.size();
  report.not_run_during_concurrent_run = execution_log_.concurrent_not_run();
  report.table_reads = table_.reads;
  report.table_writes = table_.writes;
  for (const auto& [key, row] : table_.rows) {
    const core::operation_record record =
        core::DecodeOperation(row.value).value_or(core::operation_record());
    if (record.state == core::operation_state::kReserved) {
      ++report.rows_reserved_at_end;
    }
  }
  return report;
}

void simulation::CallerLoop() {
  if (finished_) return;
  callers_.SendNewRequest();
  time_.Schedule(RandomUpTo(2 * kMeanRequestGap), [this] { CallerLoop(); });
}

void simulation::FaultLoop() {
  if (finished_) return;
  ++faults_;
  InjectFault();
  time_.Schedule(RandomUpTo(2 * kMeanFaultGap), [this] { FaultLoop(); });
}

void simulation::InjectFault() {
  constexpr std::array<void (simulation::*)(), 10> kFaults = {
      &simulation::CrashRouter,
      &simulation::PauseRouter,
      &simulation::CrashAgent,
      &simulation::PauseAgent,
      &simulation::DrainAgent,
      &simulation::InjectConnectionFault,
      &simulation::InjectConnectionFault,
      &simulation::InjectTableFault,
      &simulation::InjectTableFault,
      &simulation::InjectTargetFault};
  (this->*kFaults[random_.Below(kFaults.size())])();
}

void simulation::CrashRouter() {
  const size_t index = random_.Below(routers_.size());
  if (!routers_[index]) return;
  routers_[index]->DropLinks(random_.Uniform() < 0.5);
  callers_.OnRouterCrash(routers_[index].get());
  routers_[index].reset();
  time_.Schedule(RandomUpTo(seconds(3)), [this, index] { StartRouter(index); });
}

void simulation::PauseRouter() {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router || router->process().paused()) return;
  router->process().Pause();
  time_.Schedule(RandomUpTo(kMaxPause),
                 [weak = std::weak_ptr<router_node>(router)] {
                   const std::shared_ptr<router_node> resumed = weak.lock();
                   if (resumed) resumed->process().Resume();
                 });
}

void simulation::CrashAgent() {
  target_node& node = RandomTargetNode();
  if (!node.agent) return;
  const std::map<core::router_connection_id, std::shared_ptr<connection>>
      links = node.agent->links();
  const bool silently = random_.Uniform() < 0.5;
  node.agent.reset();
  for (const auto& [id, link] : links) {
    if (silently) {
      link->Silence(true, true);
    } else {
      link->Break();
    }
  }
  time_.Schedule(RandomUpTo(seconds(4)), [this, &node] { StartAgent(&node); });
}

void simulation::PauseAgent() {
  const std::shared_ptr<agent_node> agent = RandomTargetNode().agent;
  if (!agent || agent->process().paused()) return;
  agent->process().Pause();
  time_.Schedule(RandomUpTo(kMaxPause),
                 [weak = std::weak_ptr<agent_node>(agent)] {
                   const std::shared_ptr<agent_node> resumed = weak.lock();
                   if (resumed) resumed->process().Resume();
                 });
}

void simulation::DrainAgent() {
  target_node& node = RandomTargetNode();
  if (!node.agent || node.draining) return;
  node.draining = true;
  agent_node* drained = node.agent.get();
  drained->Drain([this, &node, drained] {
    common::CheckInvariant(drained->target().active_runs() == 0,
                           "drain_cuts_nothing", node.listing.id);
    // Like the production process, waits for its last messages to be sent.
    time_.Schedule(milliseconds(100), [this, &node, drained] {
      if (node.agent.get() != drained) return;
      const std::map<core::router_connection_id, std::shared_ptr<connection>>
          links = node.agent->links();
      node.agent.reset();
      for (const auto& [id, link] : links) link->Break();
      time_.Schedule(RandomUpTo(seconds(4)),
                     [this, &node] { StartAgent(&node); });
    });
  });
}

void simulation::InjectConnectionFault() {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router) return;
  const target_node& node = RandomTargetNode();
  const auto found = router->links().find(node.listing.id);
  if (found == router->links().end() || !found->second) return;
  const std::shared_ptr<connection> link = found->second;
  switch (random_.Below(5)) {
    case 0:
      link->Break();
      break;
    case 3:
      link->CorruptStreams();
      break;
    case 1:
      link->Silence(true, true);
      break;
    case 2:
      link->Silence(random_.Below(2) == 0, true);
      break;
    default:
      link->Stall(time_.Now() + RandomUpTo(kMaxStall));
      break;
  }
}

void simulation::InjectTableFault() {
  const common::duration outage = RandomUpTo(kMaxOutage);
  switch (random_.Below(4)) {
    case 0:
      table_.down = true;
      break;
    case 1:
      table_.lost_answer_share = 0.3;
      break;
    case 2:
      table_.late_write_share = 0.3;
      table_.late_write_delay = RandomUpTo(seconds(10));
      break;
    default:
      table_.delay = RandomUpTo(milliseconds(300));
      break;
  }
  time_.Schedule(outage, [this] {
    table_.down = false;
    table_.lost_answer_share = 0;
    table_.late_write_share = 0;
    table_.delay = milliseconds(1);
  });
}

void simulation::InjectTargetFault() {
  fake_target& target = *RandomTargetNode().target;
  switch (random_.Below(4)) {
    case 0:
      target.faults.failure_share = 0.3;
      break;
    case 1:
      target.faults.truncation_share = 0.3;
      break;
    case 2:
      target.faults.crash_share = 0.05;
      break;
    default:
      target.faults.slow = true;
      break;
  }
  time_.Schedule(RandomUpTo(seconds(10)),
                 [&target] { target.faults = target_faults(); });
}

void simulation::ClearFaults() {
  for (const std::shared_ptr<router_node>& router : routers_) {
    if (router) router->process().Resume();
  }
  for (const target_node& node : nodes_) {
    if (node.agent) node.agent->process().Resume();
    node.target->faults = target_faults();
  }
}

void simulation::CheckResultsRecorded() const {
  for (const auto& [key, row] : table_.rows) {
    const core::operation_record record =
        core::DecodeOperation(row.value).value_or(core::operation_record());
    if (record.state != core::operation_state::kReserved) continue;
    for (const target_node& node : nodes_) {
      if (node.listing.id != record.target || !node.agent) continue;
      const bool same = node.agent->incarnation() == record.incarnation;
      common::CheckInvariant(!same || !execution_log_.Succeeded(record.token),
                             "results_are_recorded", key);
    }
  }
}

void simulation::CheckQuiescent() const {
  CheckResultsRecorded();
  callers_.CheckQuiescent();
  for (const std::shared_ptr<router_node>& router : routers_) {
    common::CheckInvariant(router && router->attempts().size() == 0,
                           "no_attempt_left_behind",
                           router ? std::to_string(router->attempts().size())
                                  : "a router is missing");
  }
  for (const target_node& node : nodes_) {
    const bool idle = node.agent &&
                      node.agent->scheduler().Load().in_flight == 0 &&
                      node.agent->scheduler().Load().queued == 0;
    common::CheckInvariant(idle, "agents_come_to_rest", node.listing.id);
  }
}

}  // namespace wisteriadale::longrun
