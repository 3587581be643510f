-- A request that crashes every target that runs it crashes at most three; the
-- requests that run at the same time succeed, and sending it again is refused
-- without another crash. Guards against a poison request that takes down a whole
-- pool.
local fleet = require("fleet")

local kConcurrent = 10
local kMaxCrashes = 3

local deployment = fleet.start{routers = 2, pools = {"stock"}, copies = 4,
                               service = {service_us = 100000}}

local function crashes()
  local total = 0
  for _, port in pairs(deployment.agent_ports) do
    total = total + fleet.metric(port, "wisteria_target_crashes_total")
  end
  return total
end

local faults = http{method = "POST", port = deployment.platform_port,
                    path = "/control/faults",
                    body = encode({targets = {"stock-1", "stock-2", "stock-3", "stock-4"},
                                   crash_marker = "crash-me"})}
expect_equal(200, faults.status, "faults are set: " .. faults.body)

local concurrent = {}
for i = 1, kConcurrent do
  concurrent[i] = deployment:send("lookup", {item = i}, {router = 1})
end
local poison = deployment:request("lookup", {item = "crash-me"}, {router = 1})
expect_equal(422, poison.status, "the request is refused: " .. poison.body)
for i, call in ipairs(concurrent) do
  local answer = call:wait()
  expect_equal(200, answer.status,
               "concurrent request " .. i .. ": " .. answer.body)
end
local crash_count = crashes()
expect(crash_count >= 1 and crash_count <= kMaxCrashes,
       "crashed targets: " .. crash_count)
expect_equal(422, deployment:request("lookup", {item = "crash-me"},
                                     {router = 1}).status, "sent again")
expect_equal(crash_count, crashes(), "sending it again crashes no target")

deployment:expect_running()
deployment:stop()
