-- A router or an agent that gets SIGTERM completes its requests before it
-- exits. Guards against requests that are cut off by a planned stop, also when
-- a second SIGTERM arrives while the process drains.
local fleet = require("fleet")

local kStreams = 6

local deployment = fleet.start{routers = 2, copies = 2,
                               engine = {tokens = 60, token_us = 20000}}

local function start_streams(router)
  local streams = {}
  for i = 1, kStreams do
    streams[i] = deployment:send("answer", {sketch = i},
                                 {router = router, events = true})
  end
  for _, stream in ipairs(streams) do
    wait_until(function() return stream:body():find("event: token", 1, true) end,
               5000, "first token")
  end
  return streams
end

local function expect_complete(streams)
  for _, stream in ipairs(streams) do
    local answer = stream:wait()
    expect(answer.complete, "the stream was not cut off: " .. answer.failure)
    expect(answer.body:find("event: complete", 1, true),
           "the answer is complete: " .. answer.body:sub(-300))
  end
end

-- A router that gets a second signal while it drains.
local streams = start_streams(1)
deployment.routers[1]:stop()
wait_until(function()
  return http{port = deployment.router_ports[1], path = "/readyz",
              timeout_ms = 1000}.status ~= 200
end, 3000, "the stopping router is not ready")
deployment.routers[1]:stop()
expect_complete(streams)
expect_equal(0, deployment.routers[1]:wait(), "exit code of the router")

-- An agent completes its streams, and new requests go to the other agent of the
-- pool.
streams = start_streams(2)
deployment.agents["generate-1"]:stop()
deployment.agents["generate-1"]:stop()
wait_until(function()
  return deployment:status(2).usable_targets == #deployment.vms - 1
end, 3000, "the draining target is not used")
local rerouted = deployment:request("answer", {sketch = "later"}, {router = 2})
expect_equal(200, rerouted.status,
             "request during the drain: " .. rerouted.body)
expect_equal("generate-2", rerouted.json.stages[4].target, "the other engine")
expect_complete(streams)
expect_equal(0, deployment.agents["generate-1"]:wait(), "exit code of the agent")

-- A booking is completed before its agent exits.
local booking = deployment:send("booking", {frame = "cone"},
                                {key = "planned", router = 2})
wait_until(function()
  return deployment:run_count("planned") == 1 or booking:done()
end, 3000, "the booking runs on the target")
deployment.agents["orders-1"]:stop()
deployment.agents["orders-2"]:stop()
expect_equal(200, booking:wait().status, "booking during the drain")
expect_equal(0, deployment.agents["orders-1"]:wait(), "exit code")
expect_equal(0, deployment.agents["orders-2"]:wait(), "exit code")
expect_equal(1, deployment:run_count("planned"), "runs in the ledger")

deployment:stop()
