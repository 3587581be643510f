#include "net/http1_parser.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

struct parsed {
  net::http1_error error = net::http1_error::kNone;
  std::string body;
  std::string remaining;
  bool complete = false;
};

/// Feeds a text to a parser in pieces of a size.
parsed Feed(net::http1_parser* parser, const std::string& text, size_t piece) {
  parsed result;
  std::string input;
  for (size_t offset = 0; offset < text.size(); offset += piece) {
    input.append(text.substr(offset, piece));
    size_t consumed = 0;
    result.error = parser->Parse(input, &consumed, &result.body);
    input.erase(0, consumed);
    if (result.error != net::http1_error::kNone) break;
  }
  result.complete = parser->complete();
  result.remaining = input;
  return result;
}

parsed Request(const std::string& text, size_t piece = 1000) {
  const std::unique_ptr<net::http1_parser> parser =
      net::http1_parser::ForRequest({});
  return Feed(parser.get(), text, piece);
}

}  // namespace

TEST_GROUP(Http1Parser){};

TEST(Http1Parser, MessageParsesTheSameInPiecesOfAnySize) {
  const std::string text =
      "POST /a?b=c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nTrailer: 1\r\n\r\nNEXT";
  for (size_t piece = 1; piece < 40; ++piece) {
    const parsed result = Request(text, piece);
    CHECK(result.error == net::http1_error::kNone);
    CHECK(result.complete);
    CHECK_EQUAL("hello world", result.body);
  }
  CHECK_EQUAL("NEXT", Request(text).remaining);
}

TEST(Http1Parser, AmbiguousFramingIsRejected) {
  const std::string begin = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const char* headers :
       {"Content-Length: 1\r\nContent-Length: 2\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: +1\r\n", "Content-Length: 1 2\r\n",
        "Content-Length: -1\r\n", "Content-Length: 0x1\r\n",
        "X: a\r\n folded\r\n", "Bad Name: a\r\n", "X : a\r\n"}) {
    CHECK_TEXT(Request(begin + headers + "\r\nx").error ==
                   net::http1_error::kMalformed,
               headers);
  }
}

TEST(Http1Parser, SizeLimitsAreEnforced) {
  const std::unique_ptr<net::http1_parser> parser =
      net::http1_parser::ForRequest({200, 10});
  CHECK(Feed(parser.get(),
             "GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n", 50)
            .error == net::http1_error::kHeadTooLarge);
  const std::unique_ptr<net::http1_parser> other =
      net::http1_parser::ForRequest({200, 10});
  CHECK(Feed(other.get(),
             "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n", 50)
            .error == net::http1_error::kBodyTooLarge);
}

TEST(Http1Parser, RandomBytesAreNeverACompleteMessage) {
  std::mt19937 random(11);
  for (int i = 0; i < 3000; ++i) {
    std::string text(random() % 200, ' ');
    for (char& letter : text) letter = static_cast<char>(random());
    CHECK(!Request(text, 1 + random() % 60).complete);
  }
}
