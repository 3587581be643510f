#include "core/lease/lease_record.h"

#include <nlohmann/json.hpp>

namespace wisteriadale::core {

using nlohmann::json;

std::string EncodeLease(const lease_record& record) {
  return json{{"holder", record.holder},
              {"token", record.token},
              {"epoch", record.epoch},
              {"term_us", record.term.count()}}
      .dump();
}

std::optional<lease_record> DecodeLease(std::string_view text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  lease_record record;
  record.holder = from.value("holder", "");
  record.token = from.value("token", "");
  record.epoch = from.value("epoch", uint64_t{0});
  record.term = common::duration(from.value("term_us", int64_t{0}));
  return record;
}

std::string ControllerLeaseKey(std::string_view data_centre) {
  return "leases/controller/" + std::string(data_centre);
}

}  // namespace wisteriadale::core
