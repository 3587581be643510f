#include "common/span_buffer.h"

#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace wisteriadale;  // NOLINT(google-build-using-namespace)

TEST_GROUP(SpanBuffer) {
  char path[32] = "/tmp/wisteria-spans-XXXXXX";

  void setup() override { close(mkstemp(path)); }
  void teardown() override { unlink(path); }

  std::unique_ptr<common::span_buffer> Make(size_t limit) {
    return std::move(*common::span_buffer::Create("router-1", path, limit));
  }

  static common::span_record Span(const std::string& name) {
    common::seeded_random random(5);
    common::span_record span;
    span.context = common::ChildOf({}, random);
    span.name = name;
    return span;
  }

  std::vector<nlohmann::json> Lines() {
    std::vector<nlohmann::json> lines;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      lines.push_back(nlohmann::json::parse(line, nullptr, false));
    }
    return lines;
  }
};

TEST(SpanBuffer, EachFlushWritesOneDocument) {
  const std::unique_ptr<common::span_buffer> buffer = Make(10);
  buffer->Add(Span("one"));
  buffer->Add(Span("two"));
  buffer->Flush();
  buffer->Add(Span("three"));
  buffer->Flush();
  buffer->Flush();
  const std::vector<nlohmann::json> lines = Lines();
  LONGS_EQUAL(2, lines.size());
  const nlohmann::json& spans =
      lines[0]["resourceSpans"][0]["scopeSpans"][0]["spans"];
  LONGS_EQUAL(2, spans.size());
  STRCMP_EQUAL("two", spans[1]["name"].get<std::string>().c_str());
}

TEST(SpanBuffer, SpansBeyondTheLimitAreDroppedAndCounted) {
  {
    const std::unique_ptr<common::span_buffer> buffer = Make(3);
    for (int i = 0; i < 8; ++i) buffer->Add(Span("span"));
    LONGS_EQUAL(5, buffer->dropped());
  }
  const std::vector<nlohmann::json> lines = Lines();
  LONGS_EQUAL(1, lines.size());
  LONGS_EQUAL(3, lines[0]["resourceSpans"][0]["scopeSpans"][0]["spans"].size());
}

TEST(SpanBuffer, CreateFailsWhenTheFileCannotBeOpened) {
  CHECK(!common::span_buffer::Create("a", "/nowhere/spans", 1).has_value());
}
