#pragma once

#include <string>
#include <string_view>

#include "core/limits/target_slots.h"
#include "gateway/gateway_links.h"

namespace wisteriadale::gateway {

/// The linked gateways, as those that share the limits of targets.
class limit_links final : public core::limit_peers {
 public:
  /// @param name of this gateway
  limit_links(std::string name, gateway_links& links)
      : name_(std::move(name)), links_(links) {}

  const std::string& name() const override { return name_; }
  std::string OwnerOf(std::string_view target) const override {
    return core::ChooseQueueOwner(links_.OwnerCandidates(), target);
  }
  size_t agreeing() const override { return links_.AgreeingGatewayCount(); }
  size_t expected() const override { return links_.ExpectedGatewayCount(); }
  bool Send(const std::string& gateway,
            const core::slot_request& request) override {
    return links_.Send(gateway, request);
  }
  bool Send(const std::string& gateway,
            const core::slot_reply& reply) override {
    return links_.Send(gateway, reply);
  }

 private:
  std::string name_;
  gateway_links& links_;
};

}  // namespace wisteriadale::gateway
