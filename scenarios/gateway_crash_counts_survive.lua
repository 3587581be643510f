-- What the gateways know of a request that crashes targets outlives one gateway
-- that is killed, and a restart of all, one after the other.
local gateways = require("gateways")
local fleet = gateways.start{count = 3}

local function wait_for_links(gateway, count)
  wait_until(function()
    local metrics = http{port = gateway.operators, path = "/metrics"}.body
    return metrics:find("wisteria_gateways_linked " .. count .. "\n", 1, true)
  end, 5000, "linked to " .. count .. " gateways")
end
for _, gateway in ipairs(fleet.all) do wait_for_links(gateway, 2) end

local function send(gateway)
  return fleet:request{path = "/stock/1?rod=bad", gateway = gateway}
end
local function runs()
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/stock/1?rod=bad" then count = count + 1 end
  end
  return count
end
local function expect_refused(gateway, what)
  local rejected = send(gateway)
  expect_equal(503, rejected.status, what)
  expect(tonumber(rejected.headers["retry-after"]) > 60, "for minutes")
end

-- The gateway that saw two of three crashes is killed before the third.
fleet:set_behaviour{service = "plain", how = "lose"}
expect_equal(502, send(fleet.all[1]).status, "crashed two targets")
runner.pump(200)
fleet.all[1].process:kill()
expect_equal(502, send(fleet.all[2]).status, "crashed a third target")
runner.pump(200)
expect_equal(3, runs(), "no fourth target is tried")
expect_refused(fleet.all[2], "at the gateway that saw the third")
expect_refused(fleet.all[3], "at the other")

-- Each of the others is replaced by a process that starts with nothing.
for number = 2, 3 do
  local added = fleet:add()
  fleet:wait_for_status(added.operators, "/readyz", 200)
  wait_for_links(added, 2)
  runner.pump(300)
  fleet.all[number].process:kill()
  runner.pump(300)
end
for number = 4, 5 do expect_refused(fleet.all[number], "after all restarted") end
expect_equal(3, runs(), "reaches no target any more")

fleet:stop()
