#include <CppUTest/TestHarness.h>

#include "net/http1_parser.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kMaxHeadBytes = 4096;
constexpr char kChunkedRequest[] =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kChunkedResponse[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::unique_ptr<net::http1_parser> Parser(bool is_request) {
  const net::http1_limits limits{kMaxHeadBytes, 100000};
  return is_request ? net::http1_parser::ForRequest(limits)
                    : net::http1_parser::ForResponse(limits, false);
}

/// What a parser makes of bytes that arrive in pieces.
struct outcome {
  net::http1_error error = net::http1_error::kNone;
  std::string body;
  size_t fed = 0;       ///< bytes passed to the parser, each counted once
  size_t max_held = 0;  ///< most bytes that weren't consumed after a call
};

/// Passes a text, and then another again and again, until the message ends or
/// is rejected or too many bytes have been passed.
outcome Feed(net::http1_parser* parser, const std::string& text,
             const std::string& repeated, size_t piece) {
  constexpr size_t kMaxFed = 40 * kMaxHeadBytes;
  outcome result;
  std::string input;
  std::string arriving = text;
  while (result.fed < kMaxFed && !parser->complete()) {
    while (!repeated.empty() && arriving.size() < piece) {
      arriving.append(repeated);
    }
    if (arriving.empty()) break;
    const std::string arrival = arriving.substr(0, piece);
    arriving.erase(0, piece);
    result.fed += arrival.size();
    input.append(arrival);
    size_t consumed = 0;
    result.error = parser->Parse(input, &consumed, &result.body);
    if (result.error != net::http1_error::kNone) break;
    input.erase(0, consumed);
    result.max_held = std::max(result.max_held, input.size());
  }
  return result;
}

struct endless_case {
  const char* name;
  bool is_request;
  std::string text;
  std::string repeated;
  net::http1_error error;
  net::message_part part;
};

std::vector<endless_case> EndlessCases() {
  using net::http1_error;
  using net::message_part;
  std::vector<endless_case> cases;
  for (const bool is_request : {true, false}) {
    const std::string start =
        is_request ? "GET / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
    const std::string chunked = is_request ? kChunkedRequest : kChunkedResponse;
    const auto add = [&](const char* name, const std::string& text,
                         const std::string& repeated, http1_error error,
                         message_part part) {
      cases.push_back({name, is_request, text, repeated, error, part});
    };
    add("start line", is_request ? "GET /" : "HTTP/1.1 200 ", "x",
        http1_error::kHeadTooLarge, message_part::kStartLine);
    add("header line", start + "X: ", "x", http1_error::kHeadTooLarge,
        message_part::kHeaders);
    add("header lines", start, "X: y\r\n", http1_error::kHeadTooLarge,
        message_part::kHeaders);
    for (const char* size : {"5", "0"}) {
      add("extension", chunked + size + ";a=", "x",
          http1_error::kChunkHeaderTooLarge, message_part::kChunkHeader);
      add("space", chunked + size, " ", http1_error::kChunkHeaderTooLarge,
          message_part::kChunkHeader);
    }
    add("size of zeros", chunked, "0", http1_error::kChunkHeaderTooLarge,
        message_part::kChunkHeader);
    add("size of zeros behind a chunk", chunked + "1\r\nx\r\n", "0",
        http1_error::kChunkHeaderTooLarge, message_part::kChunkHeader);
    add("extensions of short chunks", chunked,
        "1;a=" + std::string(200, 'x') + "\r\ny\r\n",
        http1_error::kChunkHeaderTooLarge, message_part::kChunkHeader);
    add("trailer line", chunked + "0\r\nX: ", "x",
        http1_error::kTrailerTooLarge, message_part::kTrailer);
    add("trailer lines", chunked + "0\r\n", "X: y\r\n",
        http1_error::kTrailerTooLarge, message_part::kTrailer);
    add("trailer lines behind an extension",
        chunked + "0;a=" + std::string(kMaxHeadBytes / 2, 'x') + "\r\n",
        "X: y\r\n", http1_error::kTrailerTooLarge, message_part::kTrailer);
    add("body", chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n",
        http1_error::kBodyTooLarge, message_part::kBody);
  }
  cases.push_back({"body until the end of the connection", false,
                   "HTTP/1.1 200 OK\r\n\r\n", "x", http1_error::kBodyTooLarge,
                   message_part::kBody});
  return cases;
}

}  // namespace

TEST_GROUP(Http1MessageLimits){};

// A process kept, without end, what it could not parse yet.
TEST(Http1MessageLimits, EachPartThatHasNoEndIsRejected) {
  for (const endless_case& each : EndlessCases()) {
    for (const size_t piece :
         {size_t{1}, size_t{7}, size_t{1000}, size_t{8192}}) {
      const std::unique_ptr<net::http1_parser> parser = Parser(each.is_request);
      const outcome result =
          Feed(parser.get(), each.text, each.repeated, piece);
      CHECK_TEXT(result.error == each.error, each.name);
      CHECK_TEXT(result.max_held < kMaxHeadBytes + net::kMaxShortChunkHeader,
                 each.name);
      // Each byte is examined once for the end of its line and once to be
      // parsed.
      CHECK_TEXT(parser->examined_bytes() <= 2 * result.fed, each.name);
    }
  }
}

TEST(Http1MessageLimits, ThePartThatIsTooLargeIsReported) {
  for (const endless_case& each : EndlessCases()) {
    const std::unique_ptr<net::http1_parser> parser = Parser(each.is_request);
    Feed(parser.get(), each.text, each.repeated, 1000);
    CHECK_TEXT(parser->exceeded().has_value(), each.name);
    CHECK_TEXT(parser->exceeded()->part == each.part, each.name);
    CHECK_TEXT(parser->exceeded()->bytes >= parser->exceeded()->allowed,
               each.name);
  }
}

TEST(Http1MessageLimits, AnnouncedLengthsOverTheLimitAreReported) {
  for (const bool is_request : {true, false}) {
    const std::string start =
        is_request ? "POST / HTTP/1.1\r\nHost: x\r\n" : "HTTP/1.1 200 OK\r\n";
    const std::unique_ptr<net::http1_parser> length = Parser(is_request);
    Feed(length.get(), start + "Content-Length: 100001\r\n\r\n", "", 1000);
    CHECK(length->exceeded().has_value());
    CHECK_EQUAL(100001, length->exceeded()->bytes);
    CHECK_EQUAL(100000, length->exceeded()->allowed);
    const std::unique_ptr<net::http1_parser> chunk = Parser(is_request);
    const outcome result =
        Feed(chunk.get(),
             (is_request ? kChunkedRequest : kChunkedResponse) +
                 std::string("1\r\nx\r\n186a0\r\n"),
             "", 1000);
    CHECK(result.error == net::http1_error::kBodyTooLarge);
    CHECK_EQUAL(100001, chunk->exceeded()->bytes);
  }
}

TEST(Http1MessageLimits, PartsOfTheSizeOfAHeadAreAccepted) {
  const std::string long_value(kMaxHeadBytes - 100, 'x');
  for (const bool is_request : {true, false}) {
    const std::string chunked = is_request ? kChunkedRequest : kChunkedResponse;
    for (const std::string& body :
         {"5;a=" + long_value + "\r\nhello\r\n0\r\n\r\n",
          "5\r\nhello\r\n0;a=" + long_value + "\r\n\r\n",
          "5\r\nhello\r\n0\r\nX: " + long_value + "\r\n\r\n",
          std::string(kMaxHeadBytes - 100, '0') + "5\r\nhello\r\n0\r\n\r\n"}) {
      for (const size_t piece : {size_t{1}, size_t{4}, size_t{100000}}) {
        const std::unique_ptr<net::http1_parser> parser = Parser(is_request);
        const outcome result = Feed(parser.get(), chunked + body, "", piece);
        CHECK(result.error == net::http1_error::kNone);
        CHECK(parser->complete());
        CHECK_EQUAL("hello", result.body);
      }
    }
  }
}

TEST(Http1MessageLimits, AnyNumberOfShortChunksIsAccepted) {
  for (const bool is_request : {true, false}) {
    const std::unique_ptr<net::http1_parser> parser = Parser(is_request);
    std::string text = is_request ? kChunkedRequest : kChunkedResponse;
    for (int i = 0; i < 10000; ++i) text.append("1;n=123456\r\nx\r\n");
    CHECK(Feed(parser.get(), text + "0\r\n\r\n", "", 1000).error ==
          net::http1_error::kNone);
    CHECK(parser->complete());
  }
}

// A body that arrived together with the last byte of its head was searched for
// the end of the head, and rejected as too large a head.
TEST(Http1MessageLimits, AHeadThatIsDividedWithinItsLastLineIsAccepted) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8000\r\n\r\n";
  const std::string body(8000, 'x');
  for (size_t divided = 1; divided < head.size(); ++divided) {
    const std::unique_ptr<net::http1_parser> parser = Parser(true);
    std::string received;
    std::string input = head.substr(0, divided);
    size_t consumed = 0;
    CHECK(parser->Parse(input, &consumed, &received) ==
          net::http1_error::kNone);
    input.erase(0, consumed);
    input.append(head.substr(divided)).append(body);
    CHECK(parser->Parse(input, &consumed, &received) ==
          net::http1_error::kNone);
    CHECK(parser->complete());
    CHECK_EQUAL(body, received);
  }
}

// Trailers were headers of a message that arrived at once, and of no other.
TEST(Http1MessageLimits, TrailersAreNotHeaders) {
  for (const size_t piece : {size_t{1}, size_t{1000}}) {
    const std::unique_ptr<net::http1_parser> parser = Parser(true);
    Feed(parser.get(),
         std::string(kChunkedRequest) + "0\r\nHost: y\r\nX-A: b\r\n\r\n", "",
         piece);
    CHECK(parser->complete());
    CHECK_EQUAL(1, parser->head().Count("Host"));
    CHECK(parser->head().Find("X-A") == nullptr);
  }
}
