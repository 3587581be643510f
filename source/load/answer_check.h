#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriadale::load {

/// Whether an answer is whole and is the one to this request.
enum class answer_verdict {
  kOwn,
  kNotWhole,  ///< the answer does not say that it is whole
  kForeign,   ///< it is whole, but of another request
};

/// Checks an answer against what the stand-in's targets, whose results are
/// fixed by their inputs, give for the request.
/// @param request_json the body that was sent
/// @param answer_json  the router's answer
/// @param tokens       of the engines' answers
answer_verdict CheckAnswer(std::string_view request_json,
                           std::string_view answer_json, uint32_t tokens);

/// As CheckAnswer, for the lines that a target sent for a single stage.
answer_verdict CheckDirectAnswer(std::string_view input_json,
                                 std::string_view lines, uint32_t tokens);

}  // namespace wisteriadale::load
