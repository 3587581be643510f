#include "standin/fault_documents.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wisteriadale::standin {
namespace {

using nlohmann::json;

/// Reads known members of a JSON object and removes them from its copy, so that
/// unknown members remain at the end.
class member_reader {
 public:
  explicit member_reader(json document) : unread_(std::move(document)) {}

  template <typename value>
  void Read(const char* name, value* destination) {
    const auto found = unread_.find(name);
    if (found == unread_.end()) return;
    *destination = found->get<value>();
    unread_.erase(found);
  }

  bool AllRead() const { return unread_.empty(); }

 private:
  json unread_;
};

void ReadTargetFaults(member_reader* reader, target_faults* faults) {
  reader->Read("slow_factor", &faults->slow_factor);
  reader->Read("fail_share", &faults->fail_share);
  reader->Read("down", &faults->down);
  reader->Read("hang", &faults->hang);
  reader->Read("silent", &faults->silent);
  reader->Read("cut_after_tokens", &faults->cut_after_tokens);
  reader->Read("crash_marker", &faults->crash_marker);
  reader->Read("crash_ms", &faults->crash_ms);
}

void ReadPlatformFaults(member_reader* reader, platform_faults* faults) {
  reader->Read("down", &faults->down);
  reader->Read("table_down", &faults->table_down);
  reader->Read("objects_down", &faults->objects_down);
  reader->Read("vm_list_down", &faults->vm_list_down);
  reader->Read("vm_list_empty", &faults->vm_list_empty);
  reader->Read("vm_list_frozen", &faults->vm_list_frozen);
  reader->Read("delay_ms", &faults->delay_ms);
  reader->Read("lose_answer_share", &faults->lose_answer_share);
  reader->Read("late_write_share", &faults->late_write_share);
  reader->Read("late_write_ms", &faults->late_write_ms);
}

}  // namespace

bool fault_document::Matches(const target_options& target) const {
  if (!pool.empty() && pool == target.pool) return true;
  if (!data_centre.empty() && data_centre == target.data_centre) return true;
  return std::find(targets.begin(), targets.end(), target.id) != targets.end();
}

std::optional<fault_document> ParseFaultDocument(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) return std::nullopt;
  fault_document document;
  document.clears_all = parsed.empty();
  document.applies_to_targets = parsed.contains("targets") ||
                                parsed.contains("pool") ||
                                parsed.contains("data_centre");
  member_reader reader(parsed);
  // nlohmann::json reports a value of the wrong type by an exception.
  try {
    if (document.applies_to_targets) {
      reader.Read("targets", &document.targets);
      reader.Read("pool", &document.pool);
      reader.Read("data_centre", &document.data_centre);
      ReadTargetFaults(&reader, &document.new_target_faults);
    } else {
      ReadPlatformFaults(&reader, &document.new_platform_faults);
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  if (!reader.AllRead()) return std::nullopt;
  return document;
}

}  // namespace wisteriadale::standin
