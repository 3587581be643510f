#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadale::load {

/// Result of checking an answer for completeness and origin.
enum class answer_check {
  kCorrect,     ///< complete, and the answer to this request
  kIncomplete,  ///< not marked as complete
  kForeign,     ///< complete, but the answer to another request
};

/// Checks an answer against the expected result of the request. That can be
/// computed, since the results of the stand-in's targets depend on their inputs
/// alone.
/// @param request_json body of the request
/// @param answer_json  body of the router's answer
/// @param tokens       length of the engines' answers
answer_check CheckAnswer(std::string_view request_json,
                         std::string_view answer_json, uint32_t tokens);

/// As CheckAnswer, for a single stage that was called on a target directly.
/// @param input_json input of the stage
/// @param lines      the target's answer: newline-delimited JSON
/// @param tokens     length of an engine's answer
answer_check CheckDirectAnswer(std::string_view input_json,
                               std::string_view lines, uint32_t tokens);

}  // namespace wisteriadale::load
