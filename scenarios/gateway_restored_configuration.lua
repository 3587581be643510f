-- The store returns from an older copy of itself: configuration in force stays, a
-- gateway that starts learns it from the others, and what the operator writes anew
-- under the same number comes into force everywhere.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}
local kLimitMs = 2000

local function with_route(version, name)
  return gateways.document(version, function(document)
    document.tenants[1]["api-keys"] = {"another-key"}
    local route = {}
    for field, value in pairs(document.routes[1]) do route[field] = value end
    route.name, route["path-prefix"] = name, "/" .. name .. "/"
    table.insert(document.routes, route)
  end)
end
local function status(path, key, gateway)
  return fleet:request{path = path, key = key, gateway = gateway}.status
end

fleet:take_copy()
fleet:configure(with_route(11, "lost"))
runner.pump(kLimitMs)
fleet:restore()
local joined = fleet:add()
fleet:wait_for_status(joined.operators, "/readyz", 200)
runner.pump(kLimitMs)
for _, gateway in ipairs(fleet.all) do
  expect_equal(200, status("/lost/1", "another-key", gateway), "added route")
  expect_equal(401, status("/stock/1", gateways.key, gateway), "revoked key")
end

-- Its own reads do not bring it to the last gateway.
local store_relay = relay(fleet.store_port)
local isolated = fleet:add{
  ["/store/endpoint"] = "127.0.0.1:" .. store_relay.port}
fleet:wait_for_status(isolated.operators, "/readyz", 200)
runner.pump(kLimitMs)
store_relay:refuse()
store_relay:cut()
fleet:configure(with_route(11, "written-anew"))
runner.pump(kLimitMs)
for _, gateway in ipairs(fleet.all) do
  expect_equal(200, status("/written-anew/1", "another-key", gateway),
               "route written anew at " .. gateway.name)
end

fleet:stop()
