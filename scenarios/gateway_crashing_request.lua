-- A request that crashes each target that runs it is refused by all gateways
-- after three targets; other requests of the same service are not.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    local metrics = http{port = gateway.operators, path = "/metrics"}.body
    return metrics:find("wisteria_gateways_linked 1", 1, true)
  end, 3000, "the gateways are linked")
end

local function look(gateway, rod)
  return fleet:ask{path = "/stock/1?rod=" .. rod, gateway = gateway}
end
local function runs_of(rod)
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/stock/1?rod=" .. rod then count = count + 1 end
  end
  return count
end

fleet:behave{service = "plain", how = "lose"}
expect_equal(502, look(fleet.all[1], "bad").status, "lost at two targets")
expect_equal(2, runs_of("bad"), "two targets were asked")
runner.pump(200)
expect_equal(502, look(fleet.all[2], "bad").status, "lost at a third")
expect_equal(3, runs_of("bad"), "no fourth target is asked")
runner.pump(200)
for _, gateway in ipairs(fleet.all) do
  local refused = look(gateway, "bad")
  expect_equal(503, refused.status, "refused at once")
  expect(tonumber(refused.headers["retry-after"]) > 60, "for minutes")
end
expect_equal(3, runs_of("bad"), "it reaches no target any more")

-- One that was answered in between is not one that crashes its targets.
expect_equal(502, look(fleet.all[1], "good").status, "lost as well")
fleet:behave{service = "plain"}
runner.pump(200)
expect_equal(200, look(fleet.all[2], "good").status, "but answered later")
fleet:behave{service = "plain", how = "lose"}
runner.pump(200)
expect_equal(502, look(fleet.all[1], "good").status, "lost again")
fleet:behave{service = "plain"}
expect_equal(200, look(fleet.all[1], "good").status, "and not refused")
expect_equal(503, look(fleet.all[2], "bad").status, "unlike the other")

-- A gateway that joins is told.
local third = fleet:add()
fleet:wait_answering(third.operators, "/readyz", 200)
wait_until(function() return look(third, "bad").status == 503 end, 2000,
           "the new gateway refuses it too")
expect_equal(3, runs_of("bad"), "still three targets")

fleet:stop()
