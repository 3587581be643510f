-- Connections go silent for good, both ways or one way, while new ones work:
-- between router and agent, between router and platform, and to a caller.
local fleet = require("fleet")

local kNoticedMs = 3000

local deployment = fleet.start{
  routers = 1, relay_agents = true, relay_platform = true,
  -- Long enough to be still running when its link goes silent.
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

for _, way in ipairs{"both", "to_client", "to_server"} do
  -- A stream goes on where it was, with no token lost or doubled.
  local whole = deployment:send("answer", {way = way}, {events = true,
                                                        deadline_ms = 12000})
  wait_until(function() return whole:body():find("event: token", 1, true) end,
             8000, "first token")
  local before = engine_relay:accepted_count()
  engine_relay:silence(way)
  expect(not whole:done(), "a stream runs while its link goes silent, " .. way)
  wait_until(function() return engine_relay:accepted_count() > before end,
             kNoticedMs, "a new connection to the agent, " .. way)
  local answer = whole:wait()
  local complete = answer.body:match("event: complete\ndata: ([^\n]*)\n\n$")
  expect(complete, "whole answer, " .. way .. ": " .. answer.body:sub(-300))
  expect_equal(decode(complete).result, streamed_text(answer), "tokens")

  -- A booking that is running is resumed, never run again.
  local key = "silent-" .. way
  local booking = deployment:send("booking", {way = way},
                                  {key = key, deadline_ms = 12000})
  wait_until(function() return deployment:run_count(key) == 1 end, 5000,
             "running")
  orders_relay:silence(way)
  expect_equal(200, booking:wait().status, "booking, " .. way)
  expect_equal(1, deployment:run_count(key), "runs, " .. way)
end

-- The platform: a booking made just after still ends well, by new connections.
for _, way in ipairs{"both", "to_client", "to_server"} do
  local key = "platform-" .. way
  local booking = deployment:send("booking", {way = way},
                                  {key = key, deadline_ms = 12000})
  deployment.platform_relay:silence(way)
  expect_equal(200, booking:wait().status, "booking, " .. way)
  expect_equal(1, deployment:run_count(key), "runs, " .. way)
end

-- A caller that went silent costs nobody else anything.
local callers = relay(deployment.router_ports[1])
local silent = deployment:send("answer", {caller = "silent"},
                               {events = true, port = callers.port})
wait_until(function() return silent:body():find("event: token", 1, true) end,
           8000, "first token")
callers:silence()
local beside = deployment:request("answer", {caller = "beside"})
expect_equal(200, beside.status, "request beside the silent caller")
silent:cancel()

deployment:expect_running()
deployment:stop()
