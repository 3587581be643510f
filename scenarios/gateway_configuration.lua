-- New routes apply at once and are never replaced by older ones; leaving targets
-- get no new work; an outage of the store interrupts nothing.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

local function add_route(version, path)
  return gateways.document(version, function(document)
    local route = document.routes[1]
    local added = {}
    for field, value in pairs(route) do added[field] = value end
    added.name, added["path-prefix"] = "added" .. version, path
    table.insert(document.routes, added)
  end)
end
local function status(path, gateway)
  return fleet:request{path = path, gateway = gateway}.status
end
local function wait_applied(path, gateway, limit_ms)
  wait_until(function() return status(path, gateway) == 200 end, limit_ms or 2000,
             path .. " is routed")
end

fleet:configure(add_route(20, "/new/"))
for _, gateway in ipairs(fleet.all) do wait_applied("/new/1", gateway) end
fleet:configure(gateways.document(15))
runner.pump(300)
expect_equal(200, status("/new/1"), "an older version is ignored")
fleet:control("rows", {table = "op", key = "config", value = "{nonsense"})
runner.pump(200)
expect_equal(200, status("/new/1"), "a malformed document is ignored")

-- The store has dropped its change history, so that all rows are read again.
fleet:control("store", {forgotten = true})
fleet:configure(add_route(30, "/newer/"))
for _, gateway in ipairs(fleet.all) do
  wait_applied("/newer/1", gateway, 4000)
end

-- A draining target, beside malformed entries that others wrote.
fleet:control("rows", {table = "servers", key = "junk", value = "{]"})
fleet:control("rows", {table = "servers", key = "strange",
                       value = {service = 7, address = "127.0.0.1:1"}})
fleet:register_target(fleet.targets[1], {state = "draining", sequence = 2})
runner.pump(1000)
local before = #fleet:runs()
for _ = 1, 8 do
  expect_equal(200, status("/stock/1"), "while a target drains")
end
for number, run in ipairs(fleet:runs()) do
  if number > before then
    expect(run.target ~= "plain-1", "no new work for a draining target")
  end
end

-- A gateway that starts during an outage of the store gets the routes from the
-- other gateways.
fleet:control("store", {how = "busy"})
expect_equal(200, status("/newer/1"), "served during the outage")
local third = fleet:add()
fleet:wait_for_status(third.operators, "/healthz", 200)
wait_until(function()
  local answer = fleet:request{path = "/nowhere/", gateway = third}
  return answer.status == 404
end, 5000, "routes received from the other gateways")
fleet:control("store", {})
fleet:wait_for_status(third.operators, "/readyz", 200)
wait_applied("/newer/1", third)

fleet:stop()
