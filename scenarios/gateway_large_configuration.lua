-- Gateways that can read the store do not send a large configuration to each
-- other: copies from each gateway to each other one filled small links for
-- seconds.
local gateways = require("gateways")
local kAddedRoutes = 1500
local fleet = gateways.start{count = 3}

fleet:configure(gateways.document(20, function(document)
  for number = 1, kAddedRoutes do
    local added = {}
    for field, value in pairs(document.routes[1]) do added[field] = value end
    added.name = "added" .. number
    added["path-prefix"] = "/added" .. number .. "/"
    table.insert(document.routes, added)
  end
end))
local function wait_routed(gateway)
  wait_until(function()
    local path = "/added" .. kAddedRoutes .. "/1"
    return fleet:request{path = path, gateway = gateway}.status == 200
  end, 3000, "the last added route is routed")
end
for _, gateway in ipairs(fleet.all) do wait_routed(gateway) end
runner.pump(1000)
for _, gateway in ipairs(fleet.all) do
  expect(not gateways.event(fleet:log_lines(gateway), "routes_passed"),
         "no gateway sends the configuration")
end

-- One that cannot read the store asks a single gateway.
fleet:control("store", {how = "busy"})
local fourth = fleet:add()
fleet:wait_for_status(fourth.operators, "/healthz", 200)
wait_until(function()
  return fleet:request{path = "/nowhere/", gateway = fourth}.status == 404
end, 5000, "routes received from another gateway")
local passed = 0
for _, gateway in ipairs(fleet.all) do
  for _, line in ipairs(fleet:log_lines(gateway)) do
    if line.event == "routes_passed" then passed = passed + 1 end
  end
end
expect_equal(1, passed, "copies of the configuration sent")

fleet:stop()
