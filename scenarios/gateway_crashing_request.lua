-- A request that crashes every target that runs it is quarantined by all
-- gateways after three crashes; other requests of the same service are not.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    local metrics = http{port = gateway.operators, path = "/metrics"}.body
    return metrics:find("wisteria_gateways_linked 1", 1, true)
  end, 3000, "the gateways are linked")
end

local function send(gateway, rod)
  return fleet:request{path = "/stock/1?rod=" .. rod, gateway = gateway}
end
local function runs_of(rod)
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/stock/1?rod=" .. rod then count = count + 1 end
  end
  return count
end

fleet:set_behaviour{service = "plain", how = "lose"}
expect_equal(502, send(fleet.all[1], "bad").status, "crashed two targets")
expect_equal(2, runs_of("bad"), "two targets were tried")
runner.pump(200)
expect_equal(502, send(fleet.all[2], "bad").status, "crashed a third target")
expect_equal(3, runs_of("bad"), "no fourth target is tried")
runner.pump(200)
for _, gateway in ipairs(fleet.all) do
  local rejected = send(gateway, "bad")
  expect_equal(503, rejected.status, "rejected at once")
  expect(tonumber(rejected.headers["retry-after"]) > 60,
         "quarantined for minutes")
end
expect_equal(3, runs_of("bad"), "reaches no target any more")

-- A success in between resets the count of crashes.
expect_equal(502, send(fleet.all[1], "good").status, "crashed a target")
fleet:set_behaviour{service = "plain"}
runner.pump(200)
expect_equal(200, send(fleet.all[2], "good").status, "answered later")
fleet:set_behaviour{service = "plain", how = "lose"}
runner.pump(200)
expect_equal(502, send(fleet.all[1], "good").status, "crashed again")
fleet:set_behaviour{service = "plain"}
expect_equal(200, send(fleet.all[1], "good").status, "not quarantined")
expect_equal(503, send(fleet.all[2], "bad").status, "the other one still is")

-- A gateway that joins receives the quarantine of the others.
local third = fleet:add()
fleet:wait_for_status(third.operators, "/readyz", 200)
wait_until(function() return send(third, "bad").status == 503 end, 2000,
           "quarantined at the new gateway")
expect_equal(3, runs_of("bad"), "still only three targets")

fleet:stop()
