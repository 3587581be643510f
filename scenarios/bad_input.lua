-- Each kind of invalid input, from callers and from peers, gets its own error
-- code, ends no process and does not affect other requests. Guards against a
-- malformed request or frame that takes down a router or an agent.
local fleet = require("fleet")

local kMaxBody = 4096

local deployment = fleet.start{
  routers = 1, router = {["/http/max_body_bytes"] = kMaxBody,
                         ["/http/receive_timeout_ms"] = 400,
                         ["/http/send_stall_ms"] = 400}}
local port = deployment.router_ports[1]

local function expect_error(answer, status, name)
  expect_equal(status, answer.status, name .. ": " .. answer.body)
  expect_equal(name, answer.json.error.name, "name")
  expect_equal("not_run", answer.json.error.outcome, "outcome of " .. name)
  expect_equal(false, answer.json.complete,
               "the response is not marked complete")
end

--- Expects that an ordinary request still works.
local function expect_serving(inputs)
  local answer = deployment:request("lookup", {item = "cone"})
  expect_equal(200, answer.status, "lookup after " .. inputs)
end

expect_error(deployment:request("lookup", "{\"cut"), 400, "malformed_json")
expect_error(deployment:request("lookup", ""), 400, "malformed_json")
expect_error(deployment:request("lookup", string.rep("x", kMaxBody + 1)), 413,
             "body_too_large")
expect_error(deployment:request("booking", {}), 400, "missing_idempotency_key")
-- Not UTF-8: rows of the table cannot hold it.
expect_error(deployment:request("booking", {}, {key = "caf\xe9"}), 400,
             "missing_idempotency_key")
expect_error(deployment:request("booking", {}, {key = string.rep("k", 300)}),
             400, "missing_idempotency_key")
expect_error(deployment:request("nothing", {}), 404, "unknown_pipeline")
expect_error(deployment:request("lookup", {}, {api_key = "wrong"}), 401,
             "unauthorised")
for _, deadline in ipairs{"0", "-5", "99999999999", "soon", "1.5"} do
  expect_error(deployment:request("lookup", {}, {
        headers = {["request-timeout-ms"] = deadline}}), 400, "bad_deadline")
end
expect_error(http{port = port, path = "/v1/pipelines/lookup/requests"}, 405,
             "method_not_allowed")
expect_error(http{port = port, path = "/nowhere"}, 404, "not_found")
expect_serving("invalid HTTP requests")

-- Malformed, incomplete and unsupported bytes on raw connections.
local kPath = "/v1/pipelines/lookup/requests"
local kHeaders = "Host: a\r\nAuthorization: Bearer caller-key\r\n"
local function post(more_headers, body)
  return "POST " .. kPath .. " HTTP/1.1\r\n" .. kHeaders ..
             more_headers .. "\r\n" .. body
end

local slow = connect(port)
slow:send(post("Content-Length: 40\r\n", "{\"item\":"))
local concurrent = deployment:request("lookup", {item = "cone"})
expect_equal(200, concurrent.status, "request concurrent with a slow caller")
slow:wait_for("slow_caller", 5000)
slow:wait_closed()

-- An earlier request may have run the operation, so that "not run" is not known.
local slow_booking = connect(port)
slow_booking:send("POST /v1/pipelines/booking/requests HTTP/1.1\r\n" .. kHeaders ..
                      "Idempotency-Key: again\r\nContent-Length: 40\r\n\r\n{")
slow_booking:wait_for('"outcome":"unknown"', 5000)
slow_booking:wait_closed()

local half_closed = connect(port)
half_closed:send(post("Content-Length: 40\r\n", "{"))
half_closed:shutdown()
half_closed:wait_closed()

local chunked = connect(port)
chunked:send(post("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"))
chunked:wait_for("length_required", 5000)
chunked:wait_closed()

local long = connect(port)
long:send(post("Idempotency-Key: " .. string.rep("k", 1500) ..
                   "\r\nContent-Length: 2\r\n", "{}"))
long:wait_for("bad_request", 5000)

local oversized = connect(port)
oversized:send(post("Accept: " .. string.rep("k", 50000) .. "\r\n", ""))
oversized:wait_closed()

local pipelined = connect(port)
pipelined:send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" ..
               post("Content-Length: 2\r\n", "{}"))
pipelined:wait_for('"complete":true', 5000)
pipelined:close()
expect_serving("malformed bytes")

-- A frame between peers that cannot be decoded is counted, and closes no other
-- connection.
local agent_port = deployment.agent_ports["stock-1"]
local peer = connect(agent_port)
peer:send("GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n" ..
              "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" ..
              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" ..
              "Sec-WebSocket-Protocol: wisteria-peer\r\n\r\n")
peer:wait_for("101", 5000)
for _, payload in ipairs{"garbage", string.rep("\255", 100), ""} do
  -- A masked binary frame whose mask is zero.
  peer:send("\x82" .. string.char(0x80 + #payload) .. "\0\0\0\0" .. payload)
end
wait_until(function()
  return fleet.metric(agent_port, "wisteria_bad_frames_total") >= 2
end, 5000, "malformed frames are counted")
expect_serving("frames that cannot be decoded")
expect_equal(#deployment.vms, deployment:status(1).usable_targets,
             "the router's own connections stay open")

deployment:expect_running()
deployment:stop()
