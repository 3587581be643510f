-- An agent is killed while its target runs a booking, so that the outcome is
-- not known. The operation stays in doubt, is listed to operators, and one of
-- them settles it. Guards against a second run of the booking.
local fleet = require("fleet")

local deployment = fleet.start{service = {service_us = 2000000}}

local function operations(method, body)
  return http{method = method, port = deployment.router_ports[1],
              path = "/v1/operator/operations/" ..
                  (method == "POST" and "settle" or "in-doubt?min_age_ms=0"),
              body = body and encode(body)}
end

local order = {frame = "peacock"}
local options = {key = "doubt", deadline_ms = 3000}
local first = deployment:send("booking", order, options)
wait_until(function() return deployment:run_count("doubt") == 1 end, 5000,
           "booking on the target")
deployment.agents["orders-1"]:kill()
expect_equal("unknown", first:wait().json.error.outcome,
             "outcome of the first request")

local listed = operations("GET").json.operations
expect_equal(1, #listed, "number of operations in doubt")
expect_equal("operations/molde/doubt", listed[1].operation, "operation id")

local decision = {operation = listed[1].operation, version = listed[1].version,
                  operator = "kari", note = "the yard has it",
                  outcome = "not_run"}
expect_equal(409, operations("POST", decision).status,
             "not_run while a dispatch may be in flight")
expect_equal(400, operations("POST", {}).status, "decision without its fields")
decision.outcome, decision.result = "done", {booked = "by hand"}
local settled = operations("POST", decision)
expect_equal(200, settled.status, "settled: " .. settled.body)
expect_equal(409, operations("POST", decision).status, "settled twice")
expect_equal(0, #operations("GET").json.operations,
             "no operation in doubt is left")

local second = deployment:request("booking", order, options)
expect_equal(200, second.status, "a later request gets the settled result")
expect_equal("by hand", second.json.result.booked, "the settled result")
expect_equal(1, deployment:run_count("doubt"), "runs in the ledger")

deployment:start_agent("orders-1")
deployment:wait_ready()
deployment:expect_running()
deployment:stop()
