-- Guards against crash counts that end with the gateways: a request that
-- crashes its targets was taken anew after each loss of all gateways at once,
-- also when they were lost before its third crash, or while the store is away.
local gateways = require("gateways")
local kWrittenMs = 1000
local fleet = gateways.start{count = 2}
fleet:configure(gateways.document(11, function(document)
  for _, route in ipairs(document.routes) do route["max-attempts"] = 1 end
end))
runner.pump(1000)

local function send(gateway, path)
  return fleet:request{path = path, gateway = gateway}
end
local function runs(path)
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == path then count = count + 1 end
  end
  return count
end
--- Kills all gateways and starts as many.
local function replace_all()
  for _, gateway in ipairs(fleet.all) do gateway.process:kill() end
  fleet.all = {}
  fleet:add()
  fleet:add()
  for _, gateway in ipairs(fleet.all) do
    fleet:wait_for_status(gateway.operators, "/readyz", 200)
  end
end

fleet:set_behaviour{service = "plain", how = "lose"}
local bad = "/stock/1?rod=bad"
for crash = 1, 3 do
  local number = crash % 2 + 1
  expect_equal(502, send(fleet.all[number], bad).status, "crash " .. crash)
  runner.pump(kWrittenMs)
  replace_all()
end
for round = 1, 2 do
  for number = 1, 2 do
    local rejected = send(fleet.all[number], bad)
    expect_equal(503, rejected.status, "round " .. round .. " at " .. number)
    expect(tonumber(rejected.headers["retry-after"]) > 60, "for minutes")
  end
  replace_all()
end
expect_equal(3, runs(bad), "a fourth target is not tried")

-- The counts of another reach the store once it serves writes again.
local late = "/stock/2?rod=late"
fleet:control("store", {how = "busy"})
for crash, number in ipairs{1, 1, 2} do
  expect_equal(502, send(fleet.all[number], late).status,
               "away: crash " .. crash)
  runner.pump(100)
end
fleet:control("store", {how = ""})
runner.pump(5 * kWrittenMs)
replace_all()
expect_equal(503, send(fleet.all[2], late).status, "known after the store is back")
expect_equal(3, runs(late), "a fourth target is not tried")

-- Other requests are served.
fleet:set_behaviour{service = "plain"}
expect_equal(200, send(fleet.all[1], "/stock/3").status, "a sound request")
fleet:stop()
