-- The newest routes are in force at once and never step back; targets that leave
-- get no more work; a store that fails stops nothing.
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
  return fleet:ask{path = path, gateway = gateway}.status
end
local function in_force(path, gateway, limit_ms)
  wait_until(function() return status(path, gateway) == 200 end, limit_ms or 2000,
             path .. " is in force")
end

fleet:configure(add_route(20, "/new/"))
for _, gateway in ipairs(fleet.all) do in_force("/new/1", gateway) end
fleet:configure(gateways.document(15))
runner.pump(300)
expect_equal(200, status("/new/1"), "an older version changes nothing")
fleet:control("rows", {table = "op", key = "config", value = "{nonsense"})
runner.pump(200)
expect_equal(200, status("/new/1"), "neither does one that cannot be read")

-- The store dropped its history.
fleet:control("store", {forgotten = true})
fleet:configure(add_route(30, "/newer/"))
for _, gateway in ipairs(fleet.all) do in_force("/newer/1", gateway, 4000) end

-- A target that is draining, one whose entry is gone, and entries of others.
fleet:control("rows", {table = "servers", key = "junk", value = "{]"})
fleet:control("rows", {table = "servers", key = "strange",
                       value = {service = 7, address = "127.0.0.1:1"}})
fleet:enter(fleet.targets[1], {state = "draining", sequence = 2})
runner.pump(1000)
local before = #fleet:runs()
for _ = 1, 8 do expect_equal(200, status("/stock/1"), "beside a drain") end
for number, run in ipairs(fleet:runs()) do
  if number > before then
    expect(run.target ~= "plain-1", "no new work for a leaving target")
  end
end

-- A gateway that starts while the store is away learns from the others.
fleet:control("store", {how = "busy"})
expect_equal(200, status("/newer/1"), "the store is away")
local late = fleet:add()
fleet:wait_answering(late.operators, "/healthz", 200)
wait_until(function()
  local answer = fleet:ask{path = "/nowhere/", gateway = late}
  return answer.status == 404
end, 5000, "the routes of the others")
fleet:control("store", {})
fleet:wait_answering(late.operators, "/readyz", 200)
in_force("/newer/1", late)

fleet:stop()
