#include <CppUTest/TestHarness.h>

#include <random>

#include "unit_tests/fuzz/parser_check.h"

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

namespace {

/// Composes messages from parts that are mostly right, and changes some bytes.
class message_generator {
 public:
  explicit message_generator(uint64_t seed) : random_(seed) {}

  std::string Next(bool is_request) {
    std::string text;
    const size_t messages = 1 + random_() % 3;
    for (size_t i = 0; i < messages; ++i) AppendMessage(is_request, &text);
    if (random_() % 3 == 0) text.resize(random_() % (text.size() + 1));
    const size_t changes = random_() % 3 == 0 ? 1 + random_() % 3 : 0;
    for (size_t i = 0; i < changes && !text.empty(); ++i) Change(&text);
    return text;
  }

 private:
  template <size_t count>
  const char* OneOf(const char* const (&choices)[count]) {
    return choices[random_() % count];
  }
  /// @return mostly few bytes, at times as many as a limit or more
  std::string Run(char letter) {
    constexpr size_t kLengths[] = {0, 1, 2, 5, 30, 480, 512, 520, 2100};
    const size_t length =
        kLengths[random_() % (random_() % 4 == 0 ? std::size(kLengths) : 5)];
    return std::string(length, letter);
  }

  void AppendMessage(bool is_request, std::string* text) {
    if (is_request) {
      text->append(OneOf({"GET", "POST", "HEAD", ""})).append(" /");
      text->append(Run('p')).append(OneOf({" HTTP/1.1", " HTTP/1.0", ""}));
    } else {
      text->append(OneOf({"HTTP/1.1 ", "HTTP/1.0 ", "HTTP/1."}));
      text->append(OneOf({"200 ", "200 ", "100 ", "204 ", "304 ", "20"}));
      text->append(Run('r'));
    }
    text->append(OneOf({"\r\n", "\r\n", "\r\n", "\n"}));
    AppendFields(text);
    const std::string data = Run('d');
    switch (random_() % 4) {
      case 0:
        text->append("Content-Length: ").append(std::to_string(data.size()));
        text->append("\r\n\r\n").append(data);
        return;
      case 1:
        text->append("\r\n");
        if (!is_request) text->append(data);
        return;
      default:
        text->append("Transfer-Encoding: chunked\r\n\r\n");
        AppendChunks(text);
    }
  }
  void AppendFields(std::string* text) {
    for (size_t i = random_() % 4; i > 0; --i) {
      text->append(OneOf({"Host: ", "X: ", "Connection: close",
                          "Expect: ", "Content-Length: 3", " fold", ": "}));
      text->append(Run('v')).append("\r\n");
    }
  }
  void AppendChunks(std::string* text) {
    for (size_t i = random_() % 5; i > 0; --i) {
      const std::string data = Run('c') + "c";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", data.size());
      text->append(Run('0')).append(size).append(Extension()).append("\r\n");
      text->append(data).append(OneOf({"\r\n", "\r\n", "\r\n", "x"}));
    }
    text->append("0").append(Run('0')).append(Extension()).append("\r\n");
    AppendFields(text);
    text->append("\r\n");
  }
  std::string Extension() {
    if (random_() % 3 != 0) return "";
    return OneOf({";a=", ";", " ", ";a=\"", ";a; b=c"}) + Run('e');
  }
  void Change(std::string* text) {
    constexpr char kBytes[] = "\r\n 0:;\0x\xff";
    const size_t at = random_() % text->size();
    const char byte = kBytes[random_() % (sizeof(kBytes) - 1)];
    switch (random_() % 4) {
      case 0:
        text->erase(at, 1 + random_() % 4);
        return;
      case 1:
        text->insert(at, 1 + random_() % 3, byte);
        return;
      case 2:
        text->insert(at, text->substr(random_() % text->size(), 40));
        return;
      default:
        (*text)[at] = byte;
    }
  }

  std::mt19937_64 random_;
};

}  // namespace

TEST_GROUP(Http1ParserRandom){};

TEST(Http1ParserRandom, ResultDoesNotDependOnArrivals) {
  constexpr uint64_t kSeed = 36;
  constexpr uint64_t kTexts = 20000;
  message_generator generator(kSeed);
  for (uint64_t number = 1; number <= kTexts; ++number) {
    const bool is_request = number % 2 == 0;
    const std::string text = generator.Next(is_request);
    const std::string failure = fuzz::CheckParser(is_request, text, number);
    CHECK_TEXT(failure.empty(),
               ("text " + std::to_string(number) + ": " + failure).c_str());
  }
}

// Each was kept, or read again and again, without limit, or had another result
// if it arrived in pieces.
TEST(Http1ParserRandom, ResultOfKnownCasesDoesNotDependOnArrivals) {
  const std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string run(5000, '0');
  for (const std::string& body :
       {run, "5;a=" + run, "0;a=" + run, "0\r\nX: " + run,
        "0;a=\"\r\n\r\n" + run, "1;a=\"\r\nx\r\n" + run,
        std::string("0\r\n\r\n"), std::string("0\r\nHost: y\r\n\r\n"),
        std::string("1\r\nx\r\n0\r\n\r\n") + request}) {
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      for (const bool is_request : {true, false}) {
        const std::string text = (is_request ? request : response) + body;
        const std::string failure = fuzz::CheckParser(is_request, text, seed);
        CHECK_TEXT(failure.empty(), failure.c_str());
      }
    }
  }
}
