-- A request that crashes its target costs three targets at most; its neighbours
-- are answered, and a resend is refused without a further crash.
local fleet = require("fleet")

local kNeighbours = 10
local kMostTargetsLost = 3

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
expect_equal(200, faults.status, "faults set: " .. faults.body)

local neighbours = {}
for i = 1, kNeighbours do
  neighbours[i] = deployment:send("lookup", {item = i}, {router = 1})
end
local poison = deployment:request("lookup", {item = "crash-me"}, {router = 1})
expect_equal(422, poison.status, "the request is refused: " .. poison.body)
for i, neighbour in ipairs(neighbours) do
  local answer = neighbour:wait()
  expect_equal(200, answer.status, "neighbour " .. i .. ": " .. answer.body)
end
local lost = crashes()
expect(lost >= 1 and lost <= kMostTargetsLost, "targets lost: " .. lost)
expect_equal(422, deployment:request("lookup", {item = "crash-me"},
                                     {router = 1}).status, "a resend")
expect_equal(lost, crashes(), "a resend costs no target")

deployment:expect_running()
deployment:stop()
