#include "unit_tests/fuzz/parser_check.h"

#include <algorithm>
#include <random>
#include <vector>

#include "net/http1_parser.h"

namespace wisteriadale::fuzz {
namespace {

constexpr net::http1_limits kLimits{512, 2000};

struct parsed_text {
  std::vector<std::string> messages;
  std::string broken_check;
};

std::string Summary(net::http1_parser* parser, net::http1_error error,
                    const std::string& body) {
  std::string text = "error " + std::to_string(static_cast<int>(error));
  if (parser->exceeded()) {
    text.append(" ").append(net::ToString(parser->exceeded()->part));
  }
  if (parser->head_complete()) {
    const net::message_head& head = parser->head();
    text.append("\n").append(head.method).append(" ").append(head.target);
    text.append(" ").append(std::to_string(head.status));
    text.append(" ").append(head.reason);
    text.append(" ").append(net::ToString(head.framing));
    text.append(head.keep_alive ? " keep-alive" : "");
    for (const net::http_header& header : head.headers) {
      text.append("\n").append(header.name).append(": ").append(header.value);
    }
  }
  // How much of a body is passed on before an error depends on the arrivals.
  if (error == net::http1_error::kNone) {
    text.append("\n\n").append(body);
    text.append(parser->complete() ? "\ncomplete" : "\nincomplete, ");
    if (!parser->complete()) {
      text.append(std::to_string(static_cast<int>(parser->End())));
    }
  }
  return text;
}

class arrival_sizes {
 public:
  /// @param seed 0: everything arrives at once
  explicit arrival_sizes(uint64_t seed) : seed_(seed), random_(seed) {
    constexpr size_t kLargest[] = {1, 3, 20, 600, 4000};
    largest_ = kLargest[random_() % std::size(kLargest)];
  }
  size_t Next(size_t left) {
    return seed_ == 0 ? left : std::min(left, 1 + random_() % largest_);
  }

 private:
  uint64_t seed_;
  std::mt19937_64 random_;
  size_t largest_ = 1;
};

parsed_text Parse(bool is_request, std::string_view text, uint64_t seed) {
  parsed_text result;
  arrival_sizes sizes(seed);
  std::unique_ptr<net::http1_parser> parser;
  std::string input;
  std::string body;
  size_t message_bytes = 0;
  const auto end_message = [&](net::http1_error error) {
    result.messages.push_back(Summary(parser.get(), error, body));
    // Bytes that are kept when the text ends were examined too.
    if (parser->examined_bytes() > 2 * (message_bytes + input.size())) {
      result.broken_check = std::to_string(parser->examined_bytes()) +
                            " bytes examined of " +
                            std::to_string(message_bytes + input.size());
    }
    parser.reset();
    body.clear();
    message_bytes = 0;
  };
  while (!text.empty()) {
    const size_t size = sizes.Next(text.size());
    input.append(text.substr(0, size));
    text.remove_prefix(size);
    while (!input.empty()) {
      if (!parser) {
        parser = is_request ? net::http1_parser::ForRequest(kLimits)
                            : net::http1_parser::ForResponse(kLimits, false);
      }
      size_t consumed = 0;
      const net::http1_error error = parser->Parse(input, &consumed, &body);
      message_bytes += consumed;
      input.erase(0, consumed);
      if (error != net::http1_error::kNone) {
        end_message(error);
        return result;
      }
      if (!parser->complete()) break;
      end_message(net::http1_error::kNone);
    }
    if (input.size() >= kLimits.max_head_bytes + net::kMaxShortChunkHeader) {
      result.broken_check = std::to_string(input.size()) + " bytes kept";
    }
  }
  if (parser) end_message(net::http1_error::kNone);
  return result;
}

}  // namespace

std::string CheckParser(bool is_request, std::string_view text, uint64_t seed) {
  const parsed_text whole = Parse(is_request, text, 0);
  if (!whole.broken_check.empty()) return "at once: " + whole.broken_check;
  const parsed_text divided = Parse(is_request, text, seed);
  if (!divided.broken_check.empty()) return divided.broken_check;
  if (whole.messages == divided.messages) return "";
  std::string difference = "at once:";
  for (const std::string& each : whole.messages) {
    difference.append("\n[").append(each).append("]");
  }
  difference.append("\nin arrivals:");
  for (const std::string& each : divided.messages) {
    difference.append("\n[").append(each).append("]");
  }
  return difference;
}

}  // namespace wisteriadale::fuzz
