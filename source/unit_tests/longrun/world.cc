#include "unit_tests/longrun/world.h"

#include <array>

#include "common/invariant.h"

namespace wisteriadale::longrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kRouters = 3;
constexpr size_t kTargetsPerPool = 3;
constexpr std::array<const char*, 3> kPools = {"plain", "engine", "orders"};
constexpr common::duration kRequestGap = milliseconds(60);
constexpr common::duration kFaultGap = milliseconds(1500);
constexpr common::duration kRest = std::chrono::minutes(3);
constexpr common::duration kLongestPause = seconds(12);
constexpr common::duration kLongestOutage = seconds(8);
constexpr common::duration kLongestStall = seconds(40);

}  // namespace

world::world(const run_options& options)
    : options_(options),
      random_(options.seed),
      table_(time_, random_),
      routers_(kRouters),
      callers_(time_, random_, ledger_, routers_) {
  for (const char* pool : kPools) {
    for (size_t i = 0; i < kTargetsPerPool; ++i) {
      site made;
      made.listed.id = std::string(pool) + std::to_string(i);
      made.listed.pool = pool;
      made.target = std::make_unique<fake_target>(made.listed.id, time_,
                                                  random_, ledger_);
      sites_.push_back(std::move(made));
    }
  }
  for (site& where : sites_) StartAgent(&where);
  for (size_t i = 0; i < kRouters; ++i) StartRouter(i);
}

common::duration world::RandomUpTo(common::duration most) {
  return common::duration(1 + static_cast<int64_t>(random_.Below(
                                  static_cast<uint64_t>(most.count()))));
}

void world::StartRouter(size_t index) {
  routers_[index] = std::make_shared<router_node>(
      "router" + std::to_string(index), time_, table_, random_,
      [this](const std::string& target, const endpoint& router_end) {
        return Dial(target, router_end);
      });
  std::vector<listed_target> listed;
  for (const site& where : sites_) listed.push_back(where.listed);
  routers_[index]->Start(listed);
}

void world::StartAgent(site* where) {
  where->draining = false;
  where->agent =
      std::make_shared<agent_node>(where->listed.id, next_incarnation_, time_,
                                   table_, random_, *where->target);
  // Incarnations are random numbers in the product, and so far apart.
  next_incarnation_ += uint64_t{1} << 32;
}

std::shared_ptr<connection> world::Dial(const std::string& target,
                                        const endpoint& router_end) {
  for (const site& where : sites_) {
    if (where.listed.id != target || !where.agent) continue;
    std::shared_ptr<connection> link =
        std::make_shared<connection>(time_, random_);
    connections_.push_back(link);
    link->SetEnds(router_end, where.agent->Accept(link));
    return link;
  }
  return nullptr;
}

run_report world::Run() {
  CallerLoop();
  FaultLoop();
  time_.Advance(options_.duration);
  over_ = true;
  StopFaults();
  time_.Advance(kRest);
  CheckAtRest();
  run_report report;
  report.callers = callers_.counts();
  report.faults = faults_;
  report.operations_run = ledger_.size();
  report.not_run_beside_concurrent_run = ledger_.concurrent_not_run();
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

void world::CallerLoop() {
  if (over_) return;
  callers_.SendNew();
  time_.Schedule(RandomUpTo(2 * kRequestGap), [this] { CallerLoop(); });
}

void world::FaultLoop() {
  if (over_) return;
  ++faults_;
  OneFault();
  time_.Schedule(RandomUpTo(2 * kFaultGap), [this] { FaultLoop(); });
}

void world::OneFault() {
  constexpr std::array<void (world::*)(), 10> kFaults = {
      &world::CrashRouter,       &world::PauseRouter,
      &world::CrashAgent,        &world::PauseAgent,
      &world::DrainAgent,        &world::TroubleConnection,
      &world::TroubleConnection, &world::TroubleTable,
      &world::TroubleTable,      &world::TroubleTarget};
  (this->*kFaults[random_.Below(kFaults.size())])();
}

void world::CrashRouter() {
  const size_t index = random_.Below(routers_.size());
  if (!routers_[index]) return;
  routers_[index]->DropLinks(random_.Uniform() < 0.5);
  callers_.RouterDied(routers_[index].get());
  routers_[index].reset();
  time_.Schedule(RandomUpTo(seconds(3)), [this, index] { StartRouter(index); });
}

void world::PauseRouter() {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router || router->process().paused()) return;
  router->process().Pause();
  time_.Schedule(RandomUpTo(kLongestPause),
                 [weak = std::weak_ptr<router_node>(router)] {
                   const std::shared_ptr<router_node> live = weak.lock();
                   if (live) live->process().Resume();
                 });
}

void world::CrashAgent() {
  site& where = RandomSite();
  if (!where.agent) return;
  const std::map<core::router_connection_id, std::shared_ptr<connection>>
      links = where.agent->links();
  const bool silently = random_.Uniform() < 0.5;
  where.agent.reset();
  for (const auto& [id, link] : links) {
    if (silently) {
      link->Silence(true, true);
    } else {
      link->Break();
    }
  }
  time_.Schedule(RandomUpTo(seconds(4)),
                 [this, &where] { StartAgent(&where); });
}

void world::PauseAgent() {
  const std::shared_ptr<agent_node> agent = RandomSite().agent;
  if (!agent || agent->process().paused()) return;
  agent->process().Pause();
  time_.Schedule(RandomUpTo(kLongestPause),
                 [weak = std::weak_ptr<agent_node>(agent)] {
                   const std::shared_ptr<agent_node> live = weak.lock();
                   if (live) live->process().Resume();
                 });
}

void world::DrainAgent() {
  site& where = RandomSite();
  if (!where.agent || where.draining) return;
  where.draining = true;
  agent_node* drained = where.agent.get();
  drained->Drain([this, &where, drained] {
    common::CheckInvariant(drained->target().followed() == 0,
                           "drain_cuts_nothing", where.listed.id);
    // As the process does, it lets its last messages leave.
    time_.Schedule(milliseconds(100), [this, &where, drained] {
      if (where.agent.get() != drained) return;
      const std::map<core::router_connection_id, std::shared_ptr<connection>>
          links = where.agent->links();
      where.agent.reset();
      for (const auto& [id, link] : links) link->Break();
      time_.Schedule(RandomUpTo(seconds(4)),
                     [this, &where] { StartAgent(&where); });
    });
  });
}

void world::TroubleConnection() {
  const std::shared_ptr<router_node> router =
      routers_[random_.Below(routers_.size())];
  if (!router) return;
  const site& where = RandomSite();
  const auto found = router->links().find(where.listed.id);
  if (found == router->links().end() || !found->second) return;
  const std::shared_ptr<connection> link = found->second;
  switch (random_.Below(5)) {
    case 0:
      link->Break();
      break;
    case 3:
      link->Garble();
      break;
    case 1:
      link->Silence(true, true);
      break;
    case 2:
      link->Silence(random_.Below(2) == 0, true);
      break;
    default:
      link->Stall(time_.Now() + RandomUpTo(kLongestStall));
      break;
  }
}

void world::TroubleTable() {
  const common::duration length = RandomUpTo(kLongestOutage);
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
  time_.Schedule(length, [this] {
    table_.down = false;
    table_.lost_answer_share = 0;
    table_.late_write_share = 0;
    table_.delay = milliseconds(1);
  });
}

void world::TroubleTarget() {
  fake_target& target = *RandomSite().target;
  switch (random_.Below(4)) {
    case 0:
      target.faults.fails = 0.3;
      break;
    case 1:
      target.faults.cuts = 0.3;
      break;
    case 2:
      target.faults.crashes = 0.05;
      break;
    default:
      target.faults.slow = true;
      break;
  }
  time_.Schedule(RandomUpTo(seconds(10)),
                 [&target] { target.faults = target_faults(); });
}

void world::StopFaults() {
  for (const std::shared_ptr<router_node>& router : routers_) {
    if (router) router->process().Resume();
  }
  for (const site& where : sites_) {
    if (where.agent) where.agent->process().Resume();
    where.target->faults = target_faults();
  }
}

void world::CheckResultsRecorded() const {
  for (const auto& [key, row] : table_.rows) {
    const core::operation_record record =
        core::DecodeOperation(row.value).value_or(core::operation_record());
    if (record.state != core::operation_state::kReserved) continue;
    for (const site& where : sites_) {
      if (where.listed.id != record.target || !where.agent) continue;
      const bool same = where.agent->incarnation() == record.incarnation;
      common::CheckInvariant(!same || !ledger_.EndedWell(record.token),
                             "results_are_recorded", key);
    }
  }
}

void world::CheckAtRest() const {
  CheckResultsRecorded();
  callers_.CheckAtRest();
  for (const std::shared_ptr<router_node>& router : routers_) {
    common::CheckInvariant(router && router->attempts().size() == 0,
                           "no_attempt_left_behind",
                           router ? std::to_string(router->attempts().size())
                                  : "a router is missing");
  }
  for (const site& where : sites_) {
    const bool idle = where.agent &&
                      where.agent->host().Load().in_flight == 0 &&
                      where.agent->host().Load().queued == 0;
    common::CheckInvariant(idle, "agents_come_to_rest", where.listed.id);
  }
}

}  // namespace wisteriadale::longrun
