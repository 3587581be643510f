-- An agent is killed while its target makes a booking. The row stays in doubt,
-- is listed for operators, and is settled by hand; nothing runs again.
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
expect_equal("unknown", first:wait().json.error.outcome, "first answer")

local listed = operations("GET").json.operations
expect_equal(1, #listed, "operations in doubt")
expect_equal("operations/molde/doubt", listed[1].operation, "operation")

local decision = {operation = listed[1].operation, version = listed[1].version,
                  operator = "kari", note = "the yard has it",
                  outcome = "not_run"}
expect_equal(409, operations("POST", decision).status,
             "not_run while a dispatch may be under way")
expect_equal(400, operations("POST", {}).status, "a decision without fields")
decision.outcome, decision.result = "done", {booked = "by hand"}
local settled = operations("POST", decision)
expect_equal(200, settled.status, "settled: " .. settled.body)
expect_equal(409, operations("POST", decision).status, "settled twice")
expect_equal(0, #operations("GET").json.operations, "nothing in doubt")

local second = deployment:request("booking", order, options)
expect_equal(200, second.status, "a later request gets the settled result")
expect_equal("by hand", second.json.result.booked, "result")
expect_equal(1, deployment:run_count("doubt"), "runs")

deployment:start_agent("orders-1")
deployment:wait_ready()
deployment:expect_running()
deployment:stop()
