#include "core/lease/order_controller.h"

#include "common/log.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

bool NeedsNoLease(const order_message& order) {
  return order.kind == "drain" || order.kind == "undrain";
}

/// Refusals that another try can turn into success.
bool IsPassing(result_code code) {
  return code == result_code::kPlatformUnavailable ||
         code == result_code::kPlatformBudget ||
         code == result_code::kNotReady || code == result_code::kPeerLost;
}

}  // namespace

void order_controller::Submit(order_request request, state_handler handler) {
  if (request.order_id.empty()) request.order_id = random_.HexId();
  const auto [found, added] = orders_.try_emplace(request.order_id);
  pending& work = found->second;
  if (!added) {
    if (work.state.ended) {
      handler(work.state);
    } else {
      work.handlers.push_back(std::move(handler));
    }
    return;
  }
  work.state.order.order_id = request.order_id;
  work.state.order.target = std::move(request.target);
  work.state.order.kind = std::move(request.kind);
  work.state.order.argument = std::move(request.argument);
  work.state.requested_by = std::move(request.requested_by);
  work.state.submitted_wall_us = clock_.WallMicros();
  work.deadline = clock_.Now() + options_.give_up_after;
  work.handlers.push_back(std::move(handler));
  ages_.push_back(request.order_id);
  Trim();
  Send(request.order_id);
}

void order_controller::Send(const std::string& order_id) {
  const auto found = orders_.find(order_id);
  if (found == orders_.end() || found->second.state.ended) return;
  pending& work = found->second;
  if (clock_.Now() >= work.deadline) {
    End(&work, result_code::kDeadlineExceeded,
        work.state.send_count == 0 ? "no holder of the controller lease took it"
                                   : "the target's agent did not answer");
    return;
  }
  order_message& order = work.state.order;
  const order_network::lease_status lease = network_.LeaseFor(order.target);
  bool sent = false;
  if (NeedsNoLease(order)) {
    order.authority = "operator";
    sent = network_.SendOrder(order.target, order);
  } else if (lease.held) {
    // An order that was sent keeps its epoch: it is given by that holder.
    if (order.fencing_number == 0) order.fencing_number = lease.epoch;
    order.authority = options_.router_name;
    if (order.fencing_number != lease.epoch) {
      End(&work, result_code::kStaleOrder,
          "the lease changed before the order was answered");
      return;
    }
    sent = network_.SendOrder(order.target, order);
  } else if (!lease.holder.empty() && lease.holder != options_.router_name &&
             order.fencing_number == 0) {
    sent = network_.ForwardOrder(lease.holder, order);
  }
  if (sent) ++work.state.send_count;
  timers_.Schedule(options_.resend_period,
                   [this, order_id] { Send(order_id); });
}

void order_controller::OnAnswer(const order_answer_message& answer) {
  const auto found = orders_.find(answer.order_id);
  if (found == orders_.end() || found->second.state.ended) return;
  if (IsPassing(answer.code)) return;  // it is sent again
  End(&found->second, answer.code, answer.reason);
}

void order_controller::End(pending* work, result_code code,
                           std::string_view reason) {
  work->state.ended = true;
  work->state.code = code;
  work->state.reason = reason;
  common::Log(common::log_channel::kOrders, common::log_level::kInfo,
              "order " + work->state.order.order_id + " (" +
                  work->state.order.kind + ") for " + work->state.order.target +
                  " ended: " + std::string(common::Describe(code).name));
  const std::vector<state_handler> handlers = std::move(work->handlers);
  work->handlers.clear();
  const order_state state = work->state;
  for (const state_handler& handler : handlers) handler(state);
}

void order_controller::Trim() {
  while (ages_.size() > options_.max_kept_orders) {
    const auto oldest = orders_.find(ages_.front());
    if (oldest != orders_.end() && !oldest->second.state.ended) return;
    if (oldest != orders_.end()) orders_.erase(oldest);
    ages_.pop_front();
  }
}

std::vector<order_state> order_controller::Recent() const {
  std::vector<order_state> states;
  for (auto id = ages_.rbegin(); id != ages_.rend(); ++id) {
    const auto found = orders_.find(*id);
    if (found != orders_.end()) states.push_back(found->second.state);
  }
  return states;
}

}  // namespace wisteriadale::core
