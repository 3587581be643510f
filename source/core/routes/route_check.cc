#include "core/routes/route_check.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <utility>

namespace wisteriadale::core {
namespace {

/// Collects the findings of one document.
class route_checker {
 public:
  explicit route_checker(const route_document& document) : document_(document) {
    for (const service_spec& each : document.services) {
      services_.emplace(each.name, &each);
    }
  }

  std::vector<route_finding> Check(const route_document* in_force) {
    if (in_force != nullptr && document_.version <= in_force->version) {
      Error("version", "is not above the one in force, " +
                           std::to_string(in_force->version));
    }
    CheckNames();
    for (const route& each : document_.routes) CheckRoute(each);
    for (const service_spec& each : document_.services) CheckService(each);
    CheckOrganisations();
    CheckLimits();
    std::stable_sort(findings_.begin(), findings_.end(),
                     [](const route_finding& left, const route_finding& right) {
                       return left.severity < right.severity;
                     });
    return std::move(findings_);
  }

 private:
  void Error(std::string entry, std::string text) {
    findings_.push_back(
        {finding_severity::kError, std::move(entry), std::move(text)});
  }
  void Warn(std::string entry, std::string text) {
    findings_.push_back(
        {finding_severity::kWarning, std::move(entry), std::move(text)});
  }
  const service_spec* FindService(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
  }

  void CheckNames() {
    std::set<std::string> names;
    for (const route& each : document_.routes) {
      if (!names.insert(each.name).second) {
        Warn("route " + each.name, "has the name of another route");
      }
    }
    names.clear();
    for (const service_spec& each : document_.services) {
      if (!names.insert(each.name).second) {
        Error("service " + each.name, "is defined twice");
      }
    }
  }

  void CheckRoute(const route& each) {
    const std::string entry = "route " + each.name;
    CheckMatch(each, entry);
    CheckTargets(each, entry);
    if (each.timeout.count() == 0) {
      Error(entry, "its timeout is 0: every request ends at once");
    } else if (each.objective > each.timeout) {
      Warn(entry, "its latency objective is longer than its timeout");
    }
    if (each.event_gap_objective > each.timeout) {
      Warn(entry, "its gap between events is longer than its timeout");
    }
    if (each.max_attempts == 0) {
      Error(entry, "allows no attempt");
    } else if (each.max_attempts > 1 && !each.retryable()) {
      Warn(entry, "allows several attempts, but its requests run once");
    }
    if (each.resumable && each.kind != request_kind::kStreaming) {
      Warn(entry, "is resumable, but not a stream");
    }
    CheckStages(each, entry);
  }

  void CheckMatch(const route& each, const std::string& entry) {
    const std::string& prefix = each.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      Error(entry, "never matches: its prefix does not begin and end with /");
    }
    if (prefix.find('?') != std::string::npos) {
      Error(entry, "never matches: its prefix has a query");
    }
    if (each.host.find(':') != std::string::npos) {
      Error(entry, "never matches: its host has a port");
    }
    std::string host = each.host;
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char character) {
                     return static_cast<char>(std::tolower(character));
                   });
    const auto [first, is_new] =
        matched_.emplace(std::pair(std::move(host), prefix), each.name);
    if (!is_new) {
      Error(entry, "never matches: route " + first->second +
                       " has the same host and prefix");
    }
  }

  void CheckTargets(const route& each, const std::string& entry) {
    uint64_t weights = 0;
    for (const weighted_service& target : each.services) {
      weights += target.weight;
      if (FindService(target.service) == nullptr) {
        Error(entry, "its service " + target.service + " is not defined");
      }
      used_.insert(target.service);
    }
    if (weights == 0) Error(entry, "all of its weights are 0");
  }

  void CheckStages(const route& each, const std::string& entry) {
    common::duration longest(0);
    std::vector<common::duration> ends;
    for (size_t i = 0; i < each.stages.size(); ++i) {
      const stage_spec& stage = each.stages[i];
      const std::string name = "its stage " + std::to_string(i) + " ";
      used_.insert(stage.service);
      ends.push_back(common::duration(0));
      const service_spec* service = FindService(stage.service);
      if (service == nullptr || !service->batches) {
        Error(entry, name + "uses the service " + stage.service +
                         ", which runs no pieces");
        continue;
      }
      const batch_spec& batches = *service->batches;
      if (stage.result_bytes > batches.result_capacity_bytes) {
        Error(entry, name + "has results larger than the memory of a target");
      }
      for (const uint32_t dependency : stage.depends_on) {
        ends[i] = std::max(ends[i], ends.at(dependency));
      }
      ends[i] += batches.call_time + batches.piece_time;
      longest = std::max(longest, ends[i]);
    }
    if (longest > each.timeout) {
      Error(entry, "its stages take longer than its timeout without any load");
    } else if (longest > each.objective) {
      Warn(entry, "its stages take longer than its objective without any load");
    }
  }

  void CheckService(const service_spec& each) {
    const std::string entry = "service " + each.name;
    if (!used_.contains(each.name)) Warn(entry, "is used by no route");
    if (each.batches &&
        (each.batches->slots == 0 || each.batches->max_pieces == 0)) {
      Error(entry, "runs no pieces: slots or batch is 0");
    }
    if (each.cold_per_second > 0 && each.cold_time.count() == 0) {
      Warn(entry, "has a rate for cold targets, but they are never cold");
    }
  }

  void CheckOrganisations() {
    std::map<std::string, std::string> owners;
    for (const organisation_spec& each : document_.organisations) {
      const std::string entry = "organisation " + each.name;
      if (each.keys.empty()) Warn(entry, "has no key: nobody can use it");
      for (const std::string& key : each.keys) {
        const auto [owner, is_new] = owners.emplace(key, each.name);
        if (!is_new) {
          Error(entry, "has a key of organisation " + owner->second);
        }
      }
    }
  }

  void CheckLimits() {
    const caller_limits& limits = document_.limits;
    if (limits.max_header_bytes == 0) Error("limits", "allow no headers");
    if (limits.header_timeout.count() == 0) {
      Error("limits", "allow no time for headers");
    }
    if (limits.idle_timeout.count() == 0) {
      Warn("limits", "close every connection after its response");
    }
  }

  const route_document& document_;
  std::map<std::string, const service_spec*> services_;
  std::map<std::pair<std::string, std::string>, std::string> matched_;
  std::set<std::string> used_;
  std::vector<route_finding> findings_;
};

}  // namespace

std::string_view ToString(finding_severity severity) {
  return severity == finding_severity::kError ? "error" : "warning";
}

std::vector<route_finding> CheckRoutes(const route_document& document,
                                       const route_document* in_force) {
  return route_checker(document).Check(in_force);
}

}  // namespace wisteriadale::core
