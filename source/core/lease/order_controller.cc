#include "core/lease/order_controller.h"

#include "common/log.h"

namespace wisteriadale::core {
namespace {

using common::result_code;

bool NeedsNoLease(const order_message& order) {
  return order.kind == "drain" || order.kind == "undrain";
}

/// @return whether a resend of the refused order can succeed
bool IsTransient(result_code code) {
  return code == result_code::kPlatformUnavailable ||
         code == result_code::kPlatformBudget ||
         code == result_code::kNotReady || code == result_code::kPeerLost;
}

}  // namespace

void order_controller::Submit(order_request request, state_handler handler) {
  if (request.order_id.empty()) request.order_id = random_.HexId();
  const auto [found, added] = orders_.try_emplace(request.order_id);
  pending_order& entry = found->second;
  if (!added) {
    if (entry.state.ended) {
      handler(entry.state);
    } else {
      entry.handlers.push_back(std::move(handler));
    }
    return;
  }
  entry.state.order.order_id = request.order_id;
  entry.state.order.target = std::move(request.target);
  entry.state.order.kind = std::move(request.kind);
  entry.state.order.argument = std::move(request.argument);
  entry.state.requested_by = std::move(request.requested_by);
  entry.state.submitted_wall_us = clock_.WallMicros();
  entry.deadline = clock_.Now() + options_.give_up_after;
  entry.handlers.push_back(std::move(handler));
  order_ids_.push_back(request.order_id);
  RemoveOldest();
  SendUntilAnswered(request.order_id);
}

void order_controller::SendUntilAnswered(const std::string& order_id) {
  const auto found = orders_.find(order_id);
  if (found == orders_.end() || found->second.state.ended) return;
  pending_order& entry = found->second;
  if (clock_.Now() >= entry.deadline) {
    End(&entry, result_code::kDeadlineExceeded,
        entry.state.send_count == 0
            ? "no holder of the controller lease accepted it"
            : "the target's agent did not answer");
    return;
  }
  order_message& order = entry.state.order;
  const order_network::lease_status lease = network_.LeaseFor(order.target);
  bool sent = false;
  if (NeedsNoLease(order)) {
    order.authority = "operator";
    sent = network_.SendOrder(order.target, order);
  } else if (lease.held) {
    // An order keeps the epoch of its first send: it belongs to that holder.
    if (order.fencing_number == 0) order.fencing_number = lease.epoch;
    order.authority = options_.router_name;
    if (order.fencing_number != lease.epoch) {
      End(&entry, result_code::kStaleOrder,
          "the lease changed hands before the order was answered");
      return;
    }
    sent = network_.SendOrder(order.target, order);
  } else if (!lease.holder.empty() && lease.holder != options_.router_name &&
             order.fencing_number == 0) {
    sent = network_.ForwardOrder(lease.holder, order);
  }
  if (sent) ++entry.state.send_count;
  timers_.Schedule(options_.resend_period,
                   [this, order_id] { SendUntilAnswered(order_id); });
}

void order_controller::OnAnswer(const order_answer_message& answer) {
  const auto found = orders_.find(answer.order_id);
  if (found == orders_.end() || found->second.state.ended) return;
  if (IsTransient(answer.code)) return;  // the resend timer retries it
  End(&found->second, answer.code, answer.reason);
}

void order_controller::End(pending_order* entry, result_code code,
                           std::string_view reason) {
  entry->state.ended = true;
  entry->state.code = code;
  entry->state.reason = reason;
  common::Log(common::log_channel::kOrders, common::log_level::kInfo,
              "order " + entry->state.order.order_id + " (" +
                  entry->state.order.kind + ") for " +
                  entry->state.order.target +
                  " ended: " + std::string(common::Describe(code).name));
  const std::vector<state_handler> handlers = std::move(entry->handlers);
  entry->handlers.clear();
  const order_state state = entry->state;
  for (const state_handler& handler : handlers) handler(state);
}

void order_controller::RemoveOldest() {
  while (order_ids_.size() > options_.max_kept_orders) {
    const auto oldest = orders_.find(order_ids_.front());
    if (oldest != orders_.end() && !oldest->second.state.ended) return;
    if (oldest != orders_.end()) orders_.erase(oldest);
    order_ids_.pop_front();
  }
}

std::vector<order_state> order_controller::Recent() const {
  std::vector<order_state> states;
  for (auto id = order_ids_.rbegin(); id != order_ids_.rend(); ++id) {
    const auto found = orders_.find(*id);
    if (found != orders_.end()) states.push_back(found->second.state);
  }
  return states;
}

}  // namespace wisteriadale::core
