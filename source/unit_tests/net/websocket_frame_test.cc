#include "net/websocket_frame.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

using net::websocket_reader;
using outcome = websocket_reader::outcome;

namespace {

constexpr size_t kMaxMessageBytes = 100;

/// @param first byte of the frame: flags and opcode
/// @return a frame of a client, with a mask
std::string Frame(unsigned char first, std::string_view payload) {
  constexpr std::string_view kKey = "k3y!";
  std::string frame = {static_cast<char>(first),
                       static_cast<char>(0x80 | payload.size())};
  frame.append(kKey);
  for (size_t i = 0; i < payload.size(); ++i) {
    frame.push_back(static_cast<char>(payload[i] ^ kKey[i % kKey.size()]));
  }
  return frame;
}

}  // namespace

TEST_GROUP(WebsocketReader) {
  websocket_reader reader{kMaxMessageBytes};
  std::vector<std::string> messages;
  std::vector<std::string> pings;
  size_t wanted = SIZE_MAX;

  outcome Read(std::string_view data) {
    return reader.Read(
        data,
        {[this](std::string_view message) { messages.emplace_back(message); },
         [this](std::string_view payload) { pings.emplace_back(payload); }},
        [this] { return messages.size() < wanted; });
  }
};

TEST(WebsocketReader, MessagesArriveWholeWhateverThePieces) {
  const std::string frames = Frame(0x82, "one") + Frame(0x02, "tw") +
                             Frame(0x89, "ping") + Frame(0x00, "") +
                             Frame(0x80, "o") + Frame(0x82, "");
  for (const char each : frames) {
    CHECK(outcome::kOpen == Read({&each, 1}));
  }
  LONGS_EQUAL(3, messages.size());
  STRCMP_EQUAL("one", messages[0].c_str());
  STRCMP_EQUAL("two", messages[1].c_str());
  STRCMP_EQUAL("", messages[2].c_str());
  LONGS_EQUAL(1, pings.size());
  STRCMP_EQUAL("ping", pings[0].c_str());
  LONGS_EQUAL(0, reader.held());
}

TEST(WebsocketReader, WhatIsNotTheProtocolIsMalformed) {
  const std::string unmasked("\x82\x01x", 3);
  for (const std::string& bytes :
       {unmasked, Frame(0xc2, "x"), Frame(0x81, "text"), Frame(0x80, "x"),
        Frame(0x09, "ping in parts"), Frame(0x8b, "x"),
        Frame(0x02, "a") + Frame(0x82, "b")}) {
    reader = websocket_reader(kMaxMessageBytes);
    CHECK(outcome::kMalformed == Read(bytes));
  }
  LONGS_EQUAL(0, messages.size());
}

TEST(WebsocketReader, MessagesOverTheLimitAreMalformedBeforeTheyArrive) {
  // Announces 2^63 - 1 bytes.
  CHECK(outcome::kMalformed ==
        Read(std::string("\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff", 10) +
             "mask"));
  reader = websocket_reader(kMaxMessageBytes);
  CHECK(outcome::kOpen == Read(Frame(0x02, std::string(60, 'x'))));
  CHECK(outcome::kMalformed == Read(Frame(0x80, std::string(41, 'x'))));
}

TEST(WebsocketReader, ACloseFrameEndsTheChannel) {
  CHECK(outcome::kClosed == Read(Frame(0x82, "last") + Frame(0x88, "")));
  LONGS_EQUAL(1, messages.size());
}

TEST(WebsocketReader, NothingIsReadOnceTheChannelIsClosed) {
  wanted = 1;
  Read(Frame(0x82, "first") + Frame(0x82, "second"));
  LONGS_EQUAL(1, messages.size());
}

TEST(WebsocketReader, HandshakesAreAnsweredAsTheStandardSays) {
  // The example of RFC 6455, 1.3.
  STRCMP_EQUAL("s3pPLMBiTxaQ9kYGzzhZRbK+xOo=",
               net::WebsocketAccept("dGhlIHNhbXBsZSBub25jZQ==").c_str());
}
