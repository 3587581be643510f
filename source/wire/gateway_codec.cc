#include "wire/gateway_codec.h"

#include <algorithm>

#include "common/last_error.h"
#include "wire/compact_frame.h"
#include "wire/generated/gateway_messages_types.h"

namespace wisteriadale::wire {
namespace {

// Longest list or map in a frame; longer ones make it malformed.
constexpr int32_t kMaxListEntries = 4096;

int32_t Milliseconds(common::milliseconds value) {
  return static_cast<int32_t>(value.count());
}

/// Visitor that sets the field of the frame for a message's type.
struct frame_builder {
  generated::gateway_frame* frame;

  void operator()(const core::gateway_hello& from) const {
    generated::link_hello to;
    to.name = from.name;
    to.incarnation = static_cast<int64_t>(from.incarnation);
    to.address = from.address;
    to.known_addresses = from.known_addresses;
    to.capacity = from.capacity;
    to.data_centre = from.data_centre;
    frame->__set_hello_part(to);
  }
  void operator()(const core::gateway_ping& from) const {
    generated::link_ping to;
    to.sequence = static_cast<int64_t>(from.sequence);
    to.answer = from.answer;
    frame->__set_ping_part(to);
  }
  void operator()(const core::stage_job_message& from) const {
    generated::stage_order to;
    to.request_id = from.request_id;
    to.service_name = from.service;
    to.organisation = from.organisation;
    to.stage = static_cast<int32_t>(from.stage);
    to.pieces = static_cast<int32_t>(from.pieces);
    to.key = from.key;
    to.inputs = from.inputs;
    to.result_bytes = static_cast<int64_t>(from.result_bytes);
    to.priority = static_cast<int32_t>(from.priority);
    to.to_objective_ms = Milliseconds(from.to_objective);
    to.to_deadline_ms = Milliseconds(from.to_deadline);
    to.data_centre = from.data_centre;
    to.late = from.late;
    to.place_bytes = static_cast<int64_t>(from.remote_input_bytes);
    to.digest = from.digest;
    frame->__set_order_part(to);
  }
  void operator()(const core::stage_outcome_message& from) const {
    generated::stage_end to;
    to.request_id = from.request_id;
    to.stage = static_cast<int32_t>(from.stage);
    to.made = from.completed;
    to.late = from.late;
    to.handles = from.handles;
    frame->__set_end_part(to);
  }
  void operator()(const core::stage_cancellation_message& from) const {
    generated::stage_withdrawal to;
    to.request_id = from.request_id;
    frame->__set_withdrawal_part(to);
  }
  void operator()(const core::stage_release_message& from) const {
    generated::stage_release to;
    to.service_name = from.service;
    to.handles = from.handles;
    frame->__set_release_part(to);
  }
  void operator()(const core::routes_message& from) const {
    generated::routes to;
    to.version = static_cast<int64_t>(from.edition.version);
    to.era = static_cast<int64_t>(from.edition.era);
    to.document = from.document;
    frame->__set_routes_part(to);
  }
  void operator()(const core::routes_request& from) const {
    generated::routes_request to;
    to.version = static_cast<int64_t>(from.edition.version);
    to.era = static_cast<int64_t>(from.edition.era);
    frame->__set_routes_request_part(to);
  }
  void operator()(const core::upcoming_stage_message& from) const {
    generated::stage_notice to;
    to.request_id = from.request_id;
    to.service_name = from.service;
    to.stage = static_cast<int32_t>(from.stage);
    to.pieces = static_cast<int32_t>(from.pieces);
    to.priority = static_cast<int32_t>(from.priority);
    to.to_expiry_ms = Milliseconds(from.to_expiry);
    frame->__set_notice_part(to);
  }
  void operator()(const core::service_load_message& from) const {
    generated::service_load to;
    to.service_name = from.service;
    to.pieces_per_s = from.load.pieces_per_s;
    to.call_time_us = from.load.call_time.count();
    to.ahead.assign(from.load.ahead.begin(), from.load.ahead.end());
    to.late_pieces = static_cast<int32_t>(from.load.late_pieces);
    to.late_pieces_per_s = from.load.late_pieces_per_s;
    frame->__set_load_part(to);
  }
  void operator()(const core::gateway_shutdown_notice&) const {
    frame->__set_farewell_part(generated::farewell());
  }
  void operator()(const core::gateway_slow_state& from) const {
    generated::speed to;
    to.slow = from.slow;
    frame->__set_speed_part(to);
  }
  void operator()(const core::gateway_view& from) const {
    generated::view to;
    to.digest = static_cast<int64_t>(from.digest);
    frame->__set_view_part(to);
  }
  // Never sent.
  void operator()(const core::unknown_gateway_message&) const {}
  void operator()(const core::crash_report& from) const {
    generated::crash_count to;
    to.digest = from.digest;
    to.crashes = static_cast<int32_t>(from.crashes);
    frame->__set_crashes_part(to);
  }
  void operator()(const core::leaving_targets_message& from) const {
    generated::leaving to;
    for (const core::target_start& each : from.draining) {
      to.draining.push_back(each.id);
      to.draining_starts.push_back(each.started_ms);
    }
    for (const core::target_start& each : from.gone) {
      to.gone.push_back(each.id);
      to.gone_starts.push_back(each.started_ms);
    }
    frame->__set_leaving_part(to);
  }
  void operator()(const core::store_read_message& from) const {
    generated::store_read to;
    to.era = static_cast<int64_t>(from.read.to.era);
    to.from_version = static_cast<int64_t>(from.read.from.version);
    to.to_version = static_cast<int64_t>(from.read.to.version);
    for (const core::stored_row& each : from.read.changes) {
      to.keys.push_back(each.key);
      to.entry_texts.push_back(each.value);
      to.versions.push_back(static_cast<int64_t>(each.version));
      to.removals.push_back(each.removed);
    }
    to.routes_version = static_cast<int64_t>(from.read.routes.version);
    to.routes_era = static_cast<int64_t>(from.read.routes.era);
    to.routes_current = from.read.routes_current;
    to.read_at_us = from.read_at.count();
    frame->__set_store_read_part(to);
  }
  void operator()(const core::limit_report& from) const {
    generated::target_limit to;
    to.target = from.target;
    to.started_ms = from.started_ms;
    to.ended = from.ended;
    to.per_second = from.per_second;
    to.age_ms = Milliseconds(from.age);
    frame->__set_limit_part(to);
  }
  void operator()(const core::slot_request& from) const {
    generated::slot_request to;
    to.id = static_cast<int64_t>(from.id);
    to.target = from.target;
    to.started_ms = from.started_ms;
    to.per_second = from.per_second;
    to.max_delay_ms = Milliseconds(from.max_delay);
    to.reserved_for_ms = Milliseconds(from.reserved_for);
    to.sent_before = static_cast<int32_t>(from.sent_before);
    frame->__set_slot_request_part(to);
  }
  void operator()(const core::slot_reply& from) const {
    generated::slot_reply to;
    to.id = static_cast<int64_t>(from.id);
    to.verdict = static_cast<int32_t>(from.verdict);
    to.delay_ms = Milliseconds(from.delay);
    frame->__set_slot_reply_part(to);
  }
  void operator()(const core::evacuations_message& from) const {
    generated::evacuations to;
    for (const core::evacuation& each : from.statements) {
      to.data_centres.push_back(each.data_centre);
      to.evacuated.push_back(each.evacuated);
      to.eras.push_back(static_cast<int64_t>(each.at.era));
      to.versions.push_back(static_cast<int64_t>(each.at.version));
    }
    frame->__set_evacuations_part(to);
  }
};

core::routes_edition Edition(int64_t version, int64_t era) {
  return {static_cast<uint64_t>(version), static_cast<uint64_t>(era)};
}

/// @param starts missing ones, of earlier versions, are not known
std::vector<core::target_start> Starts(const std::vector<std::string>& ids,
                                       const std::vector<int64_t>& starts) {
  std::vector<core::target_start> result;
  for (size_t i = 0; i < ids.size(); ++i) {
    result.push_back({ids[i], i < starts.size() ? starts[i] : 0});
  }
  return result;
}

core::stage_job_message FromWire(const generated::stage_order& from) {
  core::stage_job_message to;
  to.request_id = from.request_id;
  to.service = from.service_name;
  to.organisation = from.organisation;
  to.stage = static_cast<uint32_t>(from.stage);
  to.pieces = static_cast<uint32_t>(from.pieces);
  to.key = from.key;
  to.inputs = from.inputs;
  to.result_bytes = static_cast<uint64_t>(from.result_bytes);
  to.priority = static_cast<uint32_t>(from.priority);
  to.to_objective = common::milliseconds(from.to_objective_ms);
  to.to_deadline = common::milliseconds(from.to_deadline_ms);
  to.data_centre = from.data_centre;
  to.late = from.late;
  to.remote_input_bytes = static_cast<uint64_t>(from.place_bytes);
  to.digest = from.digest;
  return to;
}

core::upcoming_stage_message FromWire(const generated::stage_notice& from) {
  core::upcoming_stage_message to;
  to.request_id = from.request_id;
  to.service = from.service_name;
  to.stage = static_cast<uint32_t>(from.stage);
  to.pieces = static_cast<uint32_t>(from.pieces);
  to.priority = static_cast<uint32_t>(from.priority);
  to.to_expiry = common::milliseconds(from.to_expiry_ms);
  return to;
}

core::service_load_message FromWire(const generated::service_load& from) {
  core::service_load_message to;
  to.service = from.service_name;
  to.load.pieces_per_s = from.pieces_per_s;
  to.load.call_time = common::duration(from.call_time_us);
  // Gateways of other versions may tell fewer levels apart.
  for (size_t i = 0; i < to.load.ahead.size() && !from.ahead.empty(); ++i) {
    const size_t told = std::min(i, from.ahead.size() - 1);
    to.load.ahead[i] = static_cast<uint32_t>(from.ahead[told]);
  }
  to.load.late_pieces = static_cast<uint32_t>(from.late_pieces);
  to.load.late_pieces_per_s = from.late_pieces_per_s;
  return to;
}

core::limit_report FromWire(const generated::target_limit& from) {
  return {from.target, from.started_ms, from.ended, from.per_second,
          common::milliseconds(from.age_ms)};
}

core::slot_request FromWire(const generated::slot_request& from) {
  return {static_cast<uint64_t>(from.id),
          from.target,
          from.started_ms,
          from.per_second,
          common::milliseconds(from.max_delay_ms),
          common::milliseconds(from.reserved_for_ms),
          static_cast<uint32_t>(std::max(from.sent_before, 0))};
}

std::optional<core::gateway_message> FromWire(
    const generated::slot_reply& from) {
  if (from.verdict < 0 ||
      from.verdict > static_cast<int32_t>(core::slot_verdict::kNotOwner)) {
    return std::nullopt;
  }
  return core::slot_reply{static_cast<uint64_t>(from.id),
                          static_cast<core::slot_verdict>(from.verdict),
                          common::milliseconds(from.delay_ms)};
}

std::optional<core::gateway_message> FromWire(
    const generated::evacuations& from) {
  const size_t count = from.data_centres.size();
  if (from.evacuated.size() != count || from.eras.size() != count ||
      from.versions.size() != count) {
    return std::nullopt;
  }
  core::evacuations_message to;
  for (size_t i = 0; i < count; ++i) {
    to.statements.push_back({from.data_centres[i],
                             from.evacuated[i],
                             {static_cast<uint64_t>(from.eras[i]),
                              static_cast<uint64_t>(from.versions[i])}});
  }
  return to;
}

std::optional<core::gateway_message> FromWire(
    const generated::store_read& from) {
  const size_t count = from.keys.size();
  if (from.entry_texts.size() != count || from.versions.size() != count ||
      from.removals.size() != count) {
    return std::nullopt;
  }
  core::store_read_message to;
  const uint64_t era = static_cast<uint64_t>(from.era);
  to.read.from = {era, static_cast<uint64_t>(from.from_version)};
  to.read.to = {era, static_cast<uint64_t>(from.to_version)};
  for (size_t i = 0; i < count; ++i) {
    to.read.changes.push_back({from.keys[i], from.entry_texts[i],
                               static_cast<uint64_t>(from.versions[i]),
                               from.removals[i]});
  }
  to.read.routes = Edition(from.routes_version, from.routes_era);
  to.read.routes_current = from.routes_current;
  to.read_at = common::duration(from.read_at_us);
  return to;
}

std::optional<core::gateway_message> FromWire(
    const generated::gateway_frame& frame) {
  if (frame.__isset.hello_part) {
    const generated::link_hello& part = frame.hello_part;
    return core::gateway_hello{
        part.name,     static_cast<uint64_t>(part.incarnation),
        part.address,  part.known_addresses,
        part.capacity, part.data_centre};
  }
  if (frame.__isset.ping_part) {
    const generated::link_ping& part = frame.ping_part;
    return core::gateway_ping{static_cast<uint64_t>(part.sequence),
                              part.answer};
  }
  if (frame.__isset.order_part) return FromWire(frame.order_part);
  if (frame.__isset.end_part) {
    const generated::stage_end& part = frame.end_part;
    return core::stage_outcome_message{part.request_id,
                                       static_cast<uint32_t>(part.stage),
                                       part.made, part.late, part.handles};
  }
  if (frame.__isset.withdrawal_part) {
    return core::stage_cancellation_message{frame.withdrawal_part.request_id};
  }
  if (frame.__isset.release_part) {
    const generated::stage_release& part = frame.release_part;
    return core::stage_release_message{part.service_name, part.handles};
  }
  if (frame.__isset.routes_part) {
    const generated::routes& part = frame.routes_part;
    return core::routes_message{Edition(part.version, part.era), part.document};
  }
  if (frame.__isset.routes_request_part) {
    const generated::routes_request& part = frame.routes_request_part;
    return core::routes_request{Edition(part.version, part.era)};
  }
  if (frame.__isset.leaving_part) {
    const generated::leaving& part = frame.leaving_part;
    return core::leaving_targets_message{
        Starts(part.draining, part.draining_starts),
        Starts(part.gone, part.gone_starts)};
  }
  if (frame.__isset.farewell_part) return core::gateway_shutdown_notice{};
  if (frame.__isset.notice_part) return FromWire(frame.notice_part);
  if (frame.__isset.load_part) return FromWire(frame.load_part);
  if (frame.__isset.speed_part) {
    return core::gateway_slow_state{frame.speed_part.slow};
  }
  if (frame.__isset.crashes_part) {
    return core::crash_report{
        frame.crashes_part.digest,
        static_cast<uint32_t>(frame.crashes_part.crashes)};
  }
  if (frame.__isset.view_part) {
    return core::gateway_view{static_cast<uint64_t>(frame.view_part.digest)};
  }
  if (frame.__isset.store_read_part) return FromWire(frame.store_read_part);
  if (frame.__isset.evacuations_part) return FromWire(frame.evacuations_part);
  if (frame.__isset.limit_part) return FromWire(frame.limit_part);
  if (frame.__isset.slot_request_part) return FromWire(frame.slot_request_part);
  if (frame.__isset.slot_reply_part) return FromWire(frame.slot_reply_part);
  return core::unknown_gateway_message{};
}

}  // namespace

std::string EncodeGatewayMessage(const core::gateway_message& message) {
  generated::gateway_frame frame;
  std::visit(frame_builder{&frame}, message);
  return EncodeCompact(frame);
}

std::optional<core::gateway_message> DecodeGatewayMessage(
    std::string_view frame) {
  const std::optional<generated::gateway_frame> parsed =
      DecodeCompact<generated::gateway_frame>(frame, kMaxListEntries);
  if (!parsed) return std::nullopt;
  std::optional<core::gateway_message> message = FromWire(*parsed);
  if (!message) {
    common::SetLastError(common::result_code::kBadFrame,
                         "the frame holds a malformed message");
  }
  return message;
}

}  // namespace wisteriadale::wire
