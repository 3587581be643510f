-- A request whose piece crashes the targets of its stage is quarantined by all
-- gateways after three crashes; other requests of the same stage are served.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    local metrics = http{port = gateway.operators, path = "/metrics"}.body
    return metrics:find("wisteria_gateways_linked 1", 1, true)
  end, 3000, "the gateways are linked")
end

local function draft(gateway, key)
  return fleet:request{method = "POST", path = "/drafts/1", body = key,
                       gateway = gateway,
                       headers = {Accept = "text/event-stream",
                                  ["X-Wisteriadale-Pieces"] = "2,1",
                                  ["X-Wisteriadale-Piece-Key"] = key}}
end
local function calls_with(key)
  local count = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/v1/stage-run" and
        run.body:find('"' .. key .. '"', 1, true) then
      count = count + 1
    end
  end
  return count
end

fleet:set_behaviour{service = "first", crashing_key = "dead"}
for round = 1, 6 do
  local gateway = fleet.all[1 + round % 2]
  expect_equal(503, draft(gateway, "dead").status, "not served")
  runner.pump(600)
  expect_equal(200, draft(gateway, "beef").status, "another request")
end
expect_equal(3, calls_with("dead"), "targets that it crashed")
for _, gateway in ipairs(fleet.all) do
  local rejected = draft(gateway, "dead")
  expect_equal(503, rejected.status, "rejected at once")
  expect(tonumber(rejected.headers["retry-after"]) > 60,
         "quarantined for minutes")
end
expect_equal(3, calls_with("dead"), "reaches no target any more")

fleet:stop()
