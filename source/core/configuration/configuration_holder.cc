#include "core/configuration/configuration_holder.h"

#include "common/digest.h"
#include "common/invariant.h"
#include "common/last_error.h"
#include "common/log.h"

namespace wisteriadale::core {
namespace {

using common::log_channel;
using common::log_level;

}  // namespace

bool configuration_holder::ReplaceIfNewer(const std::string& document,
                                          uint64_t version) {
  if (version < this->version()) return true;
  if (version == this->version()) {
    common::CheckInvariant(
        !current_ || current_->digest == common::Sha256Hex(document),
        "one_preset_per_version", std::to_string(version));
    return true;
  }
  const std::optional<std::shared_ptr<const configuration>> parsed =
      ParseConfiguration(document, version);
  if (!parsed) {
    common::Log(log_channel::kConfiguration, log_level::kError,
                "version " + std::to_string(version) +
                    " is invalid: " + common::LastError().text);
    return false;
  }
  common::CheckInvariant((*parsed)->version > this->version(),
                         "configuration_never_steps_down",
                         std::to_string(version));
  current_ = *parsed;
  common::Log(log_channel::kConfiguration, log_level::kInfo,
              "version " + std::to_string(version) + " in force, preset " +
                  current_->preset);
  for (const listener& changed : listeners_) changed(current_);
  return true;
}

}  // namespace wisteriadale::core
