#include "standin/fault_documents.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

/// Takes known members out of a copy of the document; what is left is unknown.
class reader {
 public:
  explicit reader(json document) : left_(std::move(document)) {}

  template <typename value>
  void Take(const char* name, value* to) {
    const auto found = left_.find(name);
    if (found == left_.end()) return;
    *to = found->get<value>();
    left_.erase(found);
  }

  bool AllTaken() const { return left_.empty(); }

 private:
  json left_;
};

void ReadTargetFaults(reader* from, target_faults* to) {
  from->Take("slow_factor", &to->slow_factor);
  from->Take("fail_share", &to->fail_share);
  from->Take("down", &to->down);
  from->Take("hang", &to->hang);
  from->Take("silent", &to->silent);
  from->Take("cut_after_tokens", &to->cut_after_tokens);
  from->Take("crash_marker", &to->crash_marker);
  from->Take("crash_ms", &to->crash_ms);
}

void ReadPlatformFaults(reader* from, platform_faults* to) {
  from->Take("down", &to->down);
  from->Take("table_down", &to->table_down);
  from->Take("objects_down", &to->objects_down);
  from->Take("vm_list_down", &to->vm_list_down);
  from->Take("vm_list_empty", &to->vm_list_empty);
  from->Take("vm_list_frozen", &to->vm_list_frozen);
  from->Take("delay_ms", &to->delay_ms);
  from->Take("lose_answer_share", &to->lose_answer_share);
  from->Take("late_write_share", &to->late_write_share);
  from->Take("late_write_ms", &to->late_write_ms);
}

}  // namespace

bool fault_document::Selects(const target_options& target) const {
  if (!pool.empty() && pool == target.pool) return true;
  if (!data_centre.empty() && data_centre == target.data_centre) return true;
  return std::find(targets.begin(), targets.end(), target.id) != targets.end();
}

std::optional<fault_document> ParseFaults(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  fault_document document;
  document.ends_all = parsed.empty();
  document.about_targets = parsed.contains("targets") ||
                           parsed.contains("pool") ||
                           parsed.contains("data_centre");
  reader from(parsed);
  // A value of the wrong type is reported by an exception of the library.
  try {
    if (document.about_targets) {
      from.Take("targets", &document.targets);
      from.Take("pool", &document.pool);
      from.Take("data_centre", &document.data_centre);
      ReadTargetFaults(&from, &document.of_targets);
    } else {
      ReadPlatformFaults(&from, &document.of_platform);
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  if (!from.AllTaken()) return std::nullopt;
  return document;
}

}  // namespace wisteriadale::standin
