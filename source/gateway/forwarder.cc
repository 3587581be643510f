#include "gateway/forwarder.h"

#include "gateway/forward_request.h"
#include "gateway/request_lookup.h"

namespace wisteriadale::gateway {

forwarder::forwarder(forward_dependencies dependencies) : deps_(dependencies) {}
forwarder::~forwarder() = default;

bool forwarder::IsRefusedByHead(const net::message_head& head) const {
  return gateway::IsRefusedByHead(deps_.routes.current().get(),
                                  deps_.codec.headers(), head);
}

void forwarder::Handle(const std::shared_ptr<net::http1_exchange>& exchange) {
  std::unique_ptr<forward_request> request =
      std::make_unique<forward_request>(*this, deps_, exchange);
  forward_request* raw = request.get();
  requests_.emplace(raw, std::move(request));
  raw->Start();
}

size_t forwarder::TerminateAll() {
  const size_t count = requests_.size();
  while (!requests_.empty()) requests_.begin()->first->Terminate();
  return count;
}

void forwarder::Remove(forward_request* ended) {
  const auto found = requests_.find(ended);
  if (found == requests_.end()) return;
  const std::unique_ptr<forward_request> destroyed = std::move(found->second);
  requests_.erase(found);
}

}  // namespace wisteriadale::gateway
