-- A request that silences each target that runs it, whose process ends after the
-- request's time, is quarantined by all gateways; one that times out on slow
-- targets is not.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

local function metric(gateway, pattern)
  local metrics = http{port = gateway.operators, path = "/metrics"}.body
  return tonumber(metrics:match(pattern)) or 0
end
for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    return metric(gateway, "wisteria_gateways_linked (%d+)") == 1
  end, 3000, "the gateways are linked")
end

local function send(gateway, rod)
  return fleet:request{path = "/stock/1?rod=" .. rod, gateway = gateway,
                       headers = {["X-Wisteriadale-Deadline-Ms"] = "300"}}
end
local function runs_of(rod)
  local found = {}
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/stock/1?rod=" .. rod then found[#found + 1] = run end
  end
  return found
end
local function lost_attempts()
  local total = 0
  for _, gateway in ipairs(fleet.all) do
    total = total + metric(gateway,
                           "wisteria_dropped_attempts_lost_total{[^}]*} (%d+)")
  end
  return total
end

fleet:set_behaviour{service = "plain", work_ms = 600}
for number = 1, 5 do
  expect_equal(504, send(fleet.all[1 + number % 2], "slow").status, "too slow")
end
fleet:set_behaviour{service = "plain"}
runner.pump(700)
expect_equal(200, send(fleet.all[1], "slow").status, "answered later")
wait_until(function()
  local watched = 0
  for _, gateway in ipairs(fleet.all) do
    expect_equal(200, send(gateway, "sound").status, "another request")
    watched = watched + metric(gateway, "wisteria_crash_watches (%d+)")
  end
  return watched == 0
end, 3000, "answers show that the slow targets live")

local function target_named(id)
  for _, target in ipairs(fleet.targets) do
    if target.id == id then return target end
  end
end
for round = 1, 3 do
  fleet:set_behaviour{service = "plain", how = "mute"}
  expect_equal(504, send(fleet.all[1 + round % 2], "bad").status, "timed out")
  local runs = runs_of("bad")
  expect_equal(round, #runs, "it reached a target")
  fleet:set_behaviour{service = "plain"}
  local target = target_named(runs[round].target)
  fleet:remove_target(target)
  wait_until(function() return lost_attempts() == round end, 5000,
             "the target is lost")
  fleet:register_target(target, {born = 1 + round})
  runner.pump(700)
end
for _, gateway in ipairs(fleet.all) do
  local rejected = send(gateway, "bad")
  expect_equal(503, rejected.status, "rejected at once")
  expect(tonumber(rejected.headers["retry-after"]) > 60,
         "quarantined for minutes")
  expect_equal(200, send(gateway, "sound").status, "another request")
end
expect_equal(3, #runs_of("bad"), "reaches no target any more")

fleet:stop()
