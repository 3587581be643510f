#include "core/control_traffic.h"

#include "common/metrics.h"

namespace wisteriadale::core {
namespace {

struct control_message_visitor {
  bool operator()(const hello_message&) const { return true; }
  bool operator()(const ping_message&) const { return true; }
  bool operator()(const configuration_message&) const { return true; }
  bool operator()(const order_message&) const { return true; }
  bool operator()(const order_answer_message&) const { return true; }
  bool operator()(const quarantine_message&) const { return true; }
  template <typename other>
  bool operator()(const other&) const {
    return false;
  }
};

}  // namespace

bool IsControlMessage(const message& message) {
  return std::visit(control_message_visitor{}, message);
}

void CountControlMessage(std::string_view direction, const message& message,
                         size_t bytes) {
  if (!IsControlMessage(message)) return;
  common::Metrics().Count("wisteria_control_messages_total",
                          {{"direction", direction}});
  common::Metrics().Count("wisteria_control_bytes_total",
                          {{"direction", direction}}, bytes);
}

}  // namespace wisteriadale::core
