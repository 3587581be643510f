-- Connections pass no more bytes, in both directions or in one, but are not
-- closed, while new ones work: between router and agent, between router and
-- platform, and to a caller. Guards against requests that hang until their
-- deadline, and against work that is lost or run twice when it is moved to a
-- new connection.
local fleet = require("fleet")

local kDetectionMs = 3000

local deployment = fleet.start{
  routers = 1, relay_agents = true, relay_platform = true,
  -- Long enough to be still running when the connection goes silent.
  engine = {tokens = 250, token_us = 15000},
  service = {service_us = 600000},
  router = {["/platform/timeout_ms"] = 1000}}
local engine_relay = deployment.agent_relays["generate-1"]
local orders_relay = deployment.agent_relays["orders-1"]

local function streamed_text(answer)
  local text = ""
  for data in answer.body:gmatch("event: token\ndata: ([^\n]*)\n\n") do
    text = text .. decode(data).text
  end
  return text
end

for _, direction in ipairs{"both", "to_client", "to_server"} do
  -- A stream is resumed where it stopped, with no token lost or repeated.
  local stream = deployment:send("answer", {way = direction},
                                 {events = true, deadline_ms = 12000})
  wait_until(function() return stream:body():find("event: token", 1, true) end,
             8000, "first token")
  local before = engine_relay:accepted_count()
  engine_relay:silence(direction)
  expect(not stream:done(),
         "the stream runs when its connection goes silent, " .. direction)
  wait_until(function() return engine_relay:accepted_count() > before end,
             kDetectionMs, "a new connection to the agent, " .. direction)
  local answer = stream:wait()
  local complete = answer.body:match("event: complete\ndata: ([^\n]*)\n\n$")
  expect(complete,
         "complete answer, " .. direction .. ": " .. answer.body:sub(-300))
  expect_equal(decode(complete).result, streamed_text(answer), "streamed text")

  -- A booking that runs is resumed over a new connection, not run again.
  local key = "silent-" .. direction
  local booking = deployment:send("booking", {way = direction},
                                  {key = key, deadline_ms = 12000})
  wait_until(function() return deployment:run_count(key) == 1 end, 5000,
             "the booking runs on the target")
  orders_relay:silence(direction)
  expect_equal(200, booking:wait().status, "booking, " .. direction)
  expect_equal(1, deployment:run_count(key), "runs, " .. direction)
end

-- The platform: bookings succeed over new connections.
for _, direction in ipairs{"both", "to_client", "to_server"} do
  local key = "platform-" .. direction
  local booking = deployment:send("booking", {way = direction},
                                  {key = key, deadline_ms = 12000})
  deployment.platform_relay:silence(direction)
  expect_equal(200, booking:wait().status, "booking, " .. direction)
  expect_equal(1, deployment:run_count(key), "runs, " .. direction)
end

-- A caller whose connection goes silent does not delay other callers.
local caller_relay = relay(deployment.router_ports[1])
local silent = deployment:send("answer", {caller = "silent"},
                               {events = true, port = caller_relay.port})
wait_until(function() return silent:body():find("event: token", 1, true) end,
           8000, "first token")
caller_relay:silence()
local other = deployment:request("answer", {caller = "beside"})
expect_equal(200, other.status, "request of another caller")
silent:cancel()

deployment:expect_running()
deployment:stop()
