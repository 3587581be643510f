-- A part of a prompt that crashes every engine is quarantined by all gateways,
-- though no two requests with it are alike; sound requests that share its caller
-- and its other parts are served.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}
local kMaxCrashes = 5

for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    local metrics = http{port = gateway.operators, path = "/metrics"}.body
    return metrics:find("wisteria_gateways_linked 1", 1, true)
  end, 3000, "the gateways are linked")
end

local sent = 0
local function ask(gateway, part)
  sent = sent + 1
  local prefix = "aa01:100," .. part .. ":50,ffff" .. sent .. ":10"
  return fleet:request{
    method = "POST", path = "/notes/" .. sent, body = "prompt " .. sent,
    gateway = gateway, headers = {
      Accept = "text/event-stream",
      ["X-Wisteriadale-Prompt-Prefix"] = prefix}}
end
local function runs_with(part)
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    local prefix = run.headers["x-wisteriadale-prompt-prefix"]
    if prefix and prefix:find(part, 1, true) then count = count + 1 end
  end
  return count
end

fleet:set_behaviour{service = "engine", crashing_part = "dead"}
for round = 1, 2 * kMaxCrashes do
  local gateway = fleet.all[1 + round % 2]
  expect_equal(200, ask(gateway, "beef").status, "a sound request is served")
  ask(gateway, "dead")
  runner.pump(300)
end
expect(runs_with("dead") <= kMaxCrashes, "crashes before the quarantine")
for _, gateway in ipairs(fleet.all) do
  local rejected = ask(gateway, "dead")
  expect_equal(503, rejected.status, "the part is refused")
  expect(tonumber(rejected.headers["retry-after"]) > 60,
         "quarantined for minutes")
  expect_equal(200, ask(gateway, "beef").status, "shares the first part")
end
expect_equal(2 * kMaxCrashes + 2, runs_with("beef"), "sound requests served")

fleet:stop()
