#include <benchmark/benchmark.h>

#include <array>
#include <string>

#include "unit_tests/benchmarks/allocation_count.h"
#include "wire/codec.h"

namespace wisteriadale::benchmarks {
namespace {

constexpr size_t kIdSize = 32;
constexpr size_t kInputSize = 1024;

/// Names of the alternatives of core::message, in the same order.
constexpr std::array kNames = {
    "hello",  "execute",      "chunk",         "outcome", "cancel",
    "resume", "revoke",       "revoke_answer", "ping",    "configuration",
    "order",  "order_answer", "conviction"};
static_assert(kNames.size() == std::variant_size_v<core::message>);

core::message Sample(const core::hello_message&) {
  return core::hello_message{"agent-12", 123456789, "volda", false, 42};
}

core::message Sample(const core::execute_message&) {
  core::execute_message message;
  message.attempt_id = std::string(kIdSize, 'a');
  message.request_id = std::string(kIdSize, 'b');
  message.organisation = "molde-kommune";
  message.pipeline = "care-question";
  message.stage = "generate";
  message.input = std::string(kInputSize, 'x');
  message.digest = std::string(2 * kIdSize, 'd');
  message.remaining = common::milliseconds(4200);
  message.prefix_key = "0123456789abcdef";
  message.trace.trace_id = std::string(kIdSize, 't');
  return message;
}

core::message Sample(const core::chunk_message&) {
  return core::chunk_message{std::string(kIdSize, 'a'), "molde-kommune", 700,
                             "welded "};
}

core::message Sample(const core::outcome_message&) {
  core::outcome_message message;
  message.attempt_id = std::string(kIdSize, 'a');
  message.organisation = "molde-kommune";
  message.result = std::string(kInputSize, 'x');
  message.load.limit = 16;
  return message;
}

core::message Sample(const core::configuration_message&) {
  return core::configuration_message{42, std::string(2 * kIdSize, 'd'),
                                     std::string(4 * kInputSize, '{'), 1};
}

core::message Sample(const core::order_message&) {
  return core::order_message{std::string(kIdSize, 'o'), 7, "load_model",
                             "frames-7b"};
}

/// Sample of a message that holds little but ids: its default value.
template <typename message_type>
core::message Sample(const message_type& message) {
  return message;
}

template <typename message_type>
void Encode(benchmark::State& state) {
  const core::message message = Sample(message_type());
  state.counters["frame_bytes"] =
      static_cast<double>(wire::Encode(message).size());
  const allocation_meter meter(state);
  for (auto unused : state) benchmark::DoNotOptimize(wire::Encode(message));
}

template <typename message_type>
void Decode(benchmark::State& state) {
  const std::string frame = wire::Encode(Sample(message_type()));
  const allocation_meter meter(state);
  for (auto unused : state) benchmark::DoNotOptimize(wire::Decode(frame));
}

/// Registers an encoding and a decoding benchmark for each alternative of
/// core::message.
template <typename... message_types>
bool Register(const std::variant<message_types...>*) {
  const auto add = [](const std::string& name, auto function) {
    benchmark::RegisterBenchmark(name.c_str(), function);
  };
  size_t index = 0;
  ((add(std::string("Encode/") + kNames[index], Encode<message_types>),
    add(std::string("Decode/") + kNames[index], Decode<message_types>),
    ++index),
   ...);
  return true;
}

[[maybe_unused]] const bool kRegistered =
    Register(static_cast<const core::message*>(nullptr));

}  // namespace
}  // namespace wisteriadale::benchmarks
