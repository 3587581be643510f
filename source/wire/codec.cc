#include "wire/codec.h"

#include "common/last_error.h"
#include "wire/compact_frame.h"
#include "wire/generated/messages_types.h"

namespace wisteriadale::wire {
namespace {

// Longest list or map in a frame; longer ones make it malformed.
constexpr int32_t kMaxListEntries = 1024;

// Thrift has no unsigned integers: they are sent as signed ones of equal bits.
int64_t Signed(uint64_t value) { return static_cast<int64_t>(value); }
uint64_t Unsigned(int64_t value) { return static_cast<uint64_t>(value); }

generated::load_report ToWire(const core::load_report& from) {
  generated::load_report to;
  to.in_flight = static_cast<int32_t>(from.in_flight);
  to.queued = static_cast<int32_t>(from.queued);
  to.limit = static_cast<int32_t>(from.limit);
  to.latency_us = static_cast<int32_t>(from.latency_us);
  to.queue_wait_us = static_cast<int32_t>(from.queue_wait_us);
  to.accepting = from.accepting;
  to.configuration_version = Signed(from.configuration_version);
  to.token_window = Signed(from.token_window);
  return to;
}

core::load_report FromWire(const generated::load_report& from) {
  core::load_report to;
  to.in_flight = static_cast<uint32_t>(from.in_flight);
  to.queued = static_cast<uint32_t>(from.queued);
  to.limit = static_cast<uint32_t>(from.limit);
  to.latency_us = static_cast<uint32_t>(from.latency_us);
  to.queue_wait_us = static_cast<uint32_t>(from.queue_wait_us);
  to.accepting = from.accepting;
  to.configuration_version = Unsigned(from.configuration_version);
  to.token_window = Unsigned(from.token_window);
  return to;
}

common::result_code ResultCodeFromWire(int32_t number) {
  return common::ResultCodeFromNumber(number).value_or(
      common::result_code::kInternal);
}

/// Visitor that sets the field of the frame for a message's type.
struct frame_builder {
  generated::frame* frame;

  void operator()(const core::hello_message& from) const {
    generated::hello to;
    to.name = from.name;
    to.incarnation = Signed(from.incarnation);
    to.data_centre = from.data_centre;
    to.is_router = from.is_router;
    to.configuration_version = Signed(from.configuration_version);
    to.pool = from.pool;
    to.address = from.address;
    to.port = from.port;
    to.token_window = Signed(from.token_window);
    frame->__set_hello_part(to);
  }

  void operator()(const core::execute_message& from) const {
    generated::execute to;
    to.attempt_id = from.attempt_id;
    to.request_id = from.request_id;
    to.organisation = from.organisation;
    to.pipeline = from.pipeline;
    to.stage = from.stage;
    to.input = from.input;
    to.digest = from.digest;
    to.operation_token = from.operation_token;
    to.expected_incarnation = Signed(from.expected_incarnation);
    to.token_window = Signed(from.token_window);
    to.remaining_ms = from.remaining.count();
    to.deferrable = from.deferrable;
    to.alone = from.exclusive;
    to.organisation_weight = static_cast<int32_t>(from.organisation_weight);
    to.prefix_key = from.prefix_key;
    to.configuration_version = Signed(from.configuration_version);
    to.operation_key = from.operation_key;
    to.stream_prefix = from.stream_prefix;
    to.trace.trace_id = from.trace.trace_id;
    to.trace.span_id = from.trace.span_id;
    to.trace.parent_id = from.trace.parent_id;
    frame->__set_execute_part(to);
  }

  void operator()(const core::chunk_message& from) const {
    generated::chunk to;
    to.attempt_id = from.attempt_id;
    to.organisation = from.organisation;
    to.offset = Signed(from.offset);
    to.data = from.data;
    frame->__set_chunk_part(to);
  }

  void operator()(const core::outcome_message& from) const {
    generated::outcome to;
    to.attempt_id = from.attempt_id;
    to.organisation = from.organisation;
    to.code = static_cast<int32_t>(from.code);
    to.reason = from.reason;
    to.result = from.result;
    to.stream_bytes = Signed(from.stream_bytes);
    to.begun = from.begun;
    to.target_us = Signed(from.target_us);
    to.suspect_digests = from.suspect_digests;
    to.load = ToWire(from.load);
    frame->__set_outcome_part(to);
  }

  void operator()(const core::cancel_message& from) const {
    generated::cancel to;
    to.attempt_id = from.attempt_id;
    frame->__set_cancel_part(to);
  }

  void operator()(const core::resume_message& from) const {
    generated::resume to;
    to.attempt_id = from.attempt_id;
    to.organisation = from.organisation;
    to.offset = Signed(from.offset);
    to.operation_token = from.operation_token;
    to.token_window = Signed(from.token_window);
    frame->__set_resume_part(to);
  }

  void operator()(const core::revoke_message& from) const {
    generated::revoke to;
    to.attempt_id = from.attempt_id;
    to.operation_token = from.operation_token;
    to.token_window = Signed(from.token_window);
    frame->__set_revoke_part(to);
  }

  void operator()(const core::revoke_answer_message& from) const {
    generated::revoke_answer to;
    to.attempt_id = from.attempt_id;
    to.operation_token = from.operation_token;
    to.begun = from.begun;
    to.known = from.known;
    frame->__set_revoke_answer_part(to);
  }

  void operator()(const core::ping_message& from) const {
    generated::ping to;
    to.sequence = Signed(from.sequence);
    to.answer = from.answer;
    // Left out by routers, which have no load: pings are the most frequent
    // messages, and stay small.
    if (from.load != core::load_report()) to.__set_load(ToWire(from.load));
    to.configuration_version = Signed(from.configuration_version);
    to.quarantine_hash = Signed(from.quarantine_hash);
    frame->__set_ping_part(to);
  }

  void operator()(const core::configuration_message& from) const {
    generated::configuration to;
    to.version = Signed(from.version);
    to.digest = from.digest;
    to.document = from.document;
    to.hops = static_cast<int32_t>(from.hops);
    frame->__set_configuration_part(to);
  }

  void operator()(const core::order_message& from) const {
    generated::order to;
    to.order_id = from.order_id;
    to.fencing_number = Signed(from.fencing_number);
    to.kind = from.kind;
    to.argument = from.argument;
    to.target = from.target;
    to.authority = from.authority;
    frame->__set_order_part(to);
  }

  void operator()(const core::order_answer_message& from) const {
    generated::order_answer to;
    to.order_id = from.order_id;
    to.code = static_cast<int32_t>(from.code);
    to.reason = from.reason;
    to.fencing_number = Signed(from.fencing_number);
    frame->__set_order_answer_part(to);
  }

  void operator()(const core::quarantine_message& from) const {
    generated::conviction to;
    to.digest = from.digest;
    to.expires_wall_us = from.expires_wall_us;
    to.lifted = from.lifted;
    to.suspect = from.suspect;
    frame->__set_conviction_part(to);
  }
};

core::hello_message FromWire(const generated::hello& from) {
  core::hello_message to;
  to.name = from.name;
  to.incarnation = Unsigned(from.incarnation);
  to.data_centre = from.data_centre;
  to.is_router = from.is_router;
  to.configuration_version = Unsigned(from.configuration_version);
  to.pool = from.pool;
  to.address = from.address;
  to.port = static_cast<uint16_t>(from.port);
  to.token_window = Unsigned(from.token_window);
  return to;
}

core::execute_message FromWire(const generated::execute& from) {
  core::execute_message to;
  to.attempt_id = from.attempt_id;
  to.request_id = from.request_id;
  to.organisation = from.organisation;
  to.pipeline = from.pipeline;
  to.stage = from.stage;
  to.input = from.input;
  to.digest = from.digest;
  to.operation_token = from.operation_token;
  to.expected_incarnation = Unsigned(from.expected_incarnation);
  to.token_window = Unsigned(from.token_window);
  to.remaining = common::milliseconds(from.remaining_ms);
  to.deferrable = from.deferrable;
  to.exclusive = from.alone;
  to.organisation_weight = static_cast<uint32_t>(from.organisation_weight);
  to.prefix_key = from.prefix_key;
  to.configuration_version = Unsigned(from.configuration_version);
  to.operation_key = from.operation_key;
  to.stream_prefix = from.stream_prefix;
  to.trace.trace_id = from.trace.trace_id;
  to.trace.span_id = from.trace.span_id;
  to.trace.parent_id = from.trace.parent_id;
  return to;
}

core::outcome_message FromWire(const generated::outcome& from) {
  core::outcome_message to;
  to.attempt_id = from.attempt_id;
  to.organisation = from.organisation;
  to.code = ResultCodeFromWire(from.code);
  to.reason = from.reason;
  to.result = from.result;
  to.stream_bytes = Unsigned(from.stream_bytes);
  to.begun = from.begun;
  to.target_us = Unsigned(from.target_us);
  to.suspect_digests = from.suspect_digests;
  to.load = FromWire(from.load);
  return to;
}

core::ping_message FromWire(const generated::ping& from) {
  core::ping_message to;
  to.sequence = Unsigned(from.sequence);
  to.answer = from.answer;
  if (from.__isset.load) to.load = FromWire(from.load);
  to.configuration_version = Unsigned(from.configuration_version);
  to.quarantine_hash = Unsigned(from.quarantine_hash);
  return to;
}

core::order_answer_message FromWire(const generated::order_answer& from) {
  return {from.order_id, ResultCodeFromWire(from.code), from.reason,
          Unsigned(from.fencing_number)};
}

std::optional<core::message> FromWire(const generated::frame& frame) {
  if (frame.__isset.hello_part) return FromWire(frame.hello_part);
  if (frame.__isset.execute_part) return FromWire(frame.execute_part);
  if (frame.__isset.chunk_part) {
    const generated::chunk& part = frame.chunk_part;
    return core::chunk_message{part.attempt_id, part.organisation,
                               Unsigned(part.offset), part.data};
  }
  if (frame.__isset.outcome_part) return FromWire(frame.outcome_part);
  if (frame.__isset.cancel_part) {
    return core::cancel_message{frame.cancel_part.attempt_id};
  }
  if (frame.__isset.resume_part) {
    const generated::resume& part = frame.resume_part;
    return core::resume_message{part.attempt_id, part.organisation,
                                Unsigned(part.offset), part.operation_token,
                                Unsigned(part.token_window)};
  }
  if (frame.__isset.revoke_part) {
    const generated::revoke& part = frame.revoke_part;
    return core::revoke_message{part.attempt_id, part.operation_token,
                                Unsigned(part.token_window)};
  }
  if (frame.__isset.revoke_answer_part) {
    const generated::revoke_answer& part = frame.revoke_answer_part;
    return core::revoke_answer_message{part.attempt_id, part.operation_token,
                                       part.begun, part.known};
  }
  if (frame.__isset.ping_part) return FromWire(frame.ping_part);
  if (frame.__isset.configuration_part) {
    const generated::configuration& part = frame.configuration_part;
    return core::configuration_message{Unsigned(part.version), part.digest,
                                       part.document,
                                       static_cast<uint32_t>(part.hops)};
  }
  if (frame.__isset.order_part) {
    const generated::order& part = frame.order_part;
    return core::order_message{part.order_id, Unsigned(part.fencing_number),
                               part.kind,     part.argument,
                               part.target,   part.authority};
  }
  if (frame.__isset.order_answer_part) return FromWire(frame.order_answer_part);
  if (frame.__isset.conviction_part) {
    const generated::conviction& part = frame.conviction_part;
    return core::quarantine_message{part.digest, part.expires_wall_us,
                                    part.lifted, part.suspect};
  }
  return std::nullopt;
}

}  // namespace

std::string Encode(const core::message& message) {
  generated::frame frame;
  std::visit(frame_builder{&frame}, message);
  return EncodeCompact(frame);
}

std::optional<core::message> Decode(std::string_view frame) {
  const std::optional<generated::frame> parsed =
      DecodeCompact<generated::frame>(frame, kMaxListEntries);
  if (!parsed) return std::nullopt;
  std::optional<core::message> message = FromWire(*parsed);
  if (!message) {
    common::SetLastError(common::result_code::kBadFrame,
                         "the frame holds no known message");
  }
  return message;
}

}  // namespace wisteriadale::wire
