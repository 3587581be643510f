// Frames between the processes of wisteriadale, one `frame` in each WebSocket
// binary message, in the compact protocol. Fields are only added, never reused.
namespace cpp wisteriadale.wire.generated

struct load_report {
  1: i32 in_flight
  2: i32 queued
  3: i32 limit
  4: i32 latency_us
  5: bool accepting
  6: i64 configuration_version
  7: i32 queue_wait_us
  8: i64 token_window
}

struct trace_context {
  1: string trace_id
  2: string span_id
  3: string parent_id
}

struct hello {
  1: string name
  2: i64 incarnation
  3: string data_centre
  4: bool is_router
  5: i64 configuration_version
  6: string pool
  7: string address
  8: i32 port
  9: i64 token_window
}

struct execute {
  1: string attempt_id
  2: string request_id
  3: string organisation
  4: string pipeline
  5: string stage
  6: binary input
  7: string digest
  8: string operation_token
  9: i64 expected_incarnation
  10: i64 remaining_ms
  11: bool deferrable
  12: bool alone
  13: i32 organisation_weight
  14: string prefix_key
  15: i64 configuration_version
  16: trace_context trace
  17: string operation_key
  18: binary stream_prefix
  19: i64 token_window
}

struct chunk {
  1: string attempt_id
  2: string organisation
  3: i64 offset
  4: binary data
}

struct outcome {
  1: string attempt_id
  2: string organisation
  3: i32 code
  4: string reason
  5: binary result
  6: i64 stream_bytes
  7: bool begun
  8: i64 target_us
  9: list<string> suspect_digests
  10: load_report load
}

struct cancel {
  1: string attempt_id
}

struct resume {
  1: string attempt_id
  2: string organisation
  3: i64 offset
  4: string operation_token
  5: i64 token_window
}

struct revoke {
  1: string attempt_id
  2: string operation_token
  3: i64 token_window
}

struct revoke_answer {
  1: string attempt_id
  2: string operation_token
  3: bool begun
  4: bool known
}

struct ping {
  1: i64 sequence
  2: bool answer
  3: optional load_report load
  4: i64 configuration_version
  5: i64 quarantine_hash
}

struct configuration {
  1: i64 version
  2: string digest
  3: binary document
  4: i32 hops
}

struct order {
  1: string order_id
  2: i64 fencing_number
  3: string kind
  4: string argument
  5: string target
  6: string authority
}

struct order_answer {
  1: string order_id
  2: i32 code
  3: string reason
  4: i64 fencing_number
}

struct conviction {
  1: string digest
  2: i64 expires_wall_us
  3: bool lifted
  4: bool suspect
}

struct frame {
  1: optional hello hello_part
  2: optional execute execute_part
  3: optional chunk chunk_part
  4: optional outcome outcome_part
  5: optional cancel cancel_part
  6: optional resume resume_part
  7: optional revoke revoke_part
  8: optional revoke_answer revoke_answer_part
  9: optional ping ping_part
  10: optional configuration configuration_part
  11: optional order order_part
  12: optional order_answer order_answer_part
  13: optional conviction conviction_part
}
