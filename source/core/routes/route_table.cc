#include "core/routes/route_table.h"

#include <algorithm>

namespace wisteriadale::core {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower_case(text);
  for (char& character : lower_case) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return lower_case;
}

}  // namespace

route_table::route_table(route_document document)
    : document_(std::move(document)) {
  for (const route& each : document_.routes) {
    by_host_[LowerCase(each.host)].push_back(&each);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route* left, const route* right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
  for (const organisation_spec& each : document_.organisations) {
    for (const std::string& key : each.keys) by_key_.emplace(key, &each);
  }
  for (const service_spec& each : document_.services) {
    by_service_.emplace(each.name, &each);
  }
}

const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  const auto found = by_host_.find(LowerCase(host));
  if (found == by_host_.end()) return nullptr;
  for (const route* each : found->second) {
    if (path.starts_with(each->path_prefix)) return each;
  }
  return nullptr;
}

const organisation_spec* route_table::FindKey(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const service_spec* route_table::FindService(std::string_view name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

bool route_holder::ReplaceIfNewer(std::shared_ptr<const route_table> table,
                                  uint64_t era) {
  const routes_edition latest = {table->version(), era};
  if (current_ && !(edition() < latest)) return false;
  current_ = std::move(table);
  era_ = era;
  return true;
}

}  // namespace wisteriadale::core
