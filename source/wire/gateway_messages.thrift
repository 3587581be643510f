// Messages between gateways. The generated code is in generated/; make it anew
// with: thrift --gen cpp:no_skeleton -out generated gateway_messages.thrift
namespace cpp wisteriadale.wire.generated

struct link_hello {
  1: string name
  2: i64 incarnation
  3: string address
  4: list<string> known_addresses
  5: double capacity
  6: string data_centre
}

struct link_ping {
  1: i64 sequence
  2: bool answer
}

struct stage_order {
  1: string request_id
  2: string service_name
  3: string organisation
  4: i32 stage
  5: i32 pieces
  6: string key
  7: list<string> inputs
  8: i64 result_bytes
  9: i32 priority
  10: i32 to_objective_ms
  11: i32 to_deadline_ms
  12: string data_centre
  13: bool late
  14: i64 place_bytes
  15: string digest
}

struct stage_end {
  1: string request_id
  2: i32 stage
  3: bool made
  4: bool late
  5: list<string> handles
}

struct stage_withdrawal {
  1: string request_id
}

struct stage_release {
  1: string service_name
  2: list<string> handles
}

// Without a document it announces the version only.
struct routes {
  1: i64 version
  2: string document
  3: i64 era
}

struct routes_request {
  1: i64 version
  2: i64 era
}

// The starts are those of the targets at the same places of the other lists.
struct leaving {
  1: list<string> draining
  2: list<string> gone
  3: list<i64> draining_starts
  4: list<i64> gone_starts
}

struct stage_notice {
  1: string request_id
  2: string service_name
  3: i32 stage
  4: i32 pieces
  5: i32 priority
  6: i32 to_expiry_ms
}

struct service_load {
  1: string service_name
  2: double pieces_per_s
  3: i64 call_time_us
  4: list<i32> ahead
  5: i32 late_pieces
  6: double late_pieces_per_s
}

struct farewell {
}

struct speed {
  1: bool slow
}

struct crash_count {
  1: string digest
  2: i32 crashes
}

struct target_limit {
  1: string target
  2: i64 started_ms
  3: bool ended
  4: double per_second
  5: i32 age_ms
}

struct slot_request {
  1: i64 id
  2: string target
  3: i64 started_ms
  4: double per_second
  5: i32 max_delay_ms
  6: i32 reserved_for_ms
  7: i32 sent_before
}

// Values of verdict: 0 granted, 1 denied, 2 not the owner.
struct slot_reply {
  1: i64 id
  2: i32 verdict
  3: i32 delay_ms
}

struct view {
  1: i64 digest
}

// The lists have one entry for each change.
struct store_read {
  1: i64 era
  2: i64 from_version
  3: i64 to_version
  4: list<string> keys
  5: list<string> entry_texts
  6: list<i64> versions
  7: list<bool> removals
  8: i64 routes_version
  9: i64 routes_era
  10: bool routes_current
  11: i64 read_at_us
}

// The lists have one entry for each data centre.
struct evacuations {
  1: list<string> data_centres
  2: list<bool> evacuated
  3: list<i64> eras
  4: list<i64> versions
}

struct gateway_frame {
  1: optional link_hello hello_part
  2: optional link_ping ping_part
  3: optional stage_order order_part
  4: optional stage_end end_part
  5: optional stage_withdrawal withdrawal_part
  6: optional stage_release release_part
  7: optional routes routes_part
  8: optional leaving leaving_part
  9: optional stage_notice notice_part
  10: optional service_load load_part
  11: optional farewell farewell_part
  12: optional crash_count crashes_part
  13: optional speed speed_part
  14: optional routes_request routes_request_part
  15: optional target_limit limit_part
  16: optional slot_request slot_request_part
  17: optional slot_reply slot_reply_part
  18: optional view view_part
  19: optional store_read store_read_part
  20: optional evacuations evacuations_part
}
