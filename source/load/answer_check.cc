#include "load/answer_check.h"

#include <nlohmann/json.hpp>

#include "standin/target_service.h"

namespace wisteriadale::load {
namespace {

using nlohmann::json;

/// @return whether a stage's result is the expected one for this input
bool IsResultOf(const json& result, const std::string& input, uint32_t tokens) {
  if (result.is_string()) {
    return result.get<std::string>() == standin::GeneratedText(input, tokens);
  }
  return result.is_object() &&
         result.value("digest", "") == standin::InputDigest(input);
}

}  // namespace

answer_check CheckAnswer(std::string_view request_json,
                         std::string_view answer_json, uint32_t tokens) {
  const json answer = json::parse(answer_json, nullptr, false);
  if (!answer.is_object() || !answer.value("complete", false) ||
      !answer.contains("stages") || !answer.contains("result")) {
    return answer_check::kIncomplete;
  }
  json input = {{"request", json::parse(request_json, nullptr, false)},
                {"results", json::object()}};
  const json& stages = answer["stages"];
  for (size_t i = 0; i + 1 < stages.size(); ++i) {
    // The input of each stage contains the results of all stages before it.
    const std::string name = stages[i].value("stage", "");
    input["results"][name] = {{"stage", name},
                              {"target", stages[i].value("target", "")},
                              {"digest", standin::InputDigest(input.dump())}};
  }
  return IsResultOf(answer["result"], input.dump(), tokens)
             ? answer_check::kCorrect
             : answer_check::kForeign;
}

answer_check CheckDirectAnswer(std::string_view input_json,
                               std::string_view lines, uint32_t tokens) {
  const std::string input = json::parse(input_json, nullptr, false).dump();
  std::string text;
  size_t start = 0;
  for (size_t end = lines.find('\n'); end != std::string_view::npos;
       end = lines.find('\n', start)) {
    const json line =
        json::parse(lines.substr(start, end - start), nullptr, false);
    start = end + 1;
    if (!line.is_object()) return answer_check::kIncomplete;
    if (line.contains("chunk")) text += line["chunk"].get<std::string>();
    if (!line.value("done", false)) continue;
    const json result = line.contains("result") ? line["result"] : json(text);
    return IsResultOf(result, input, tokens) ? answer_check::kCorrect
                                             : answer_check::kForeign;
  }
  return answer_check::kIncomplete;
}

}  // namespace wisteriadale::load
