-- An evacuated data centre gets nothing from any gateway, though the store turns
-- one of them away and all are restarted; taken back, its targets get work again.
local gateways = require("gateways")
local fleet = gateways.start{count = 3}
-- Time within which an evacuation is in force.
local kEvacuateMs = 2500

local function move(number, zone)
  for _, target in ipairs(fleet.targets) do
    if target.id:match("%-" .. number .. "$") then
      fleet:register_target(target, {zone = zone, sequence = 2})
    end
  end
end
local function evacuate(zone) fleet:control("rows", {
  table = "op", key = "evacuate/" .. zone, value = {}}) end
local function take_back(zone) fleet:control("rows", {
  table = "op", key = "evacuate/" .. zone}) end
local function draft(gateway)
  return fleet:request{method = "POST", path = "/drafts/1", body = "x",
                       gateway = gateway,
                       headers = {Accept = "text/event-stream",
                                  ["X-Wisteriadale-Pieces"] = "3,2",
                                  ["X-Wisteriadale-Piece-Key"] = "0a"}}
end
--- Sends plain and staged requests to all gateways; returns the runs by target.
local function runs_by_target(rounds)
  local before = #fleet:runs()
  for _ = 1, rounds do
    for _, gateway in ipairs(fleet.all) do
      expect_equal(200, fleet:request{path = "/stock/1", gateway = gateway}.status,
                   "a plain request")
      expect_equal(200, draft(gateway).status, "a request with stages")
    end
  end
  local counts = {}
  for number, run in ipairs(fleet:runs()) do
    if number > before then counts[run.target] = (counts[run.target] or 0) + 1 end
  end
  return counts
end
local function expect_evacuated(counts, number)
  for id, count in pairs(counts) do
    expect(not id:match("%-" .. number .. "$"), id .. " got " .. count)
  end
  expect(next(counts), "the others got work")
end

fleet:set_behaviour{service = "engine", events = 2, event_ms = 5}
move(2, "b")
runner.pump(1500)
local function works(counts, id) return (counts[id] or 0) > 0 end
local counts = runs_by_target(6)
expect(works(counts, "plain-2") and works(counts, "engine-2"),
       "data centre b got work before")

-- A stream that runs there when it is evacuated is not cut.
fleet:set_behaviour{service = "engine", events = 60, event_ms = 50}
local stream = connect(fleet.all[1].callers)
stream:send(gateways.bytes{method = "POST", path = "/answers/1", body = "x"})
runner.pump(200)
evacuate("b")
evacuate("no such data centre")
runner.pump(kEvacuateMs)
local streamed
wait_until(function()
  streamed = gateways.parse(stream:read())
  return streamed and streamed.complete
end, 8000, "the stream ends")
stream:close()
fleet:set_behaviour{service = "engine", events = 2, event_ms = 5}
expect_evacuated(runs_by_target(4), 2)

-- All gateways are killed: the evacuation stays in force.
for _, gateway in ipairs(fleet.all) do gateway.process:kill() end
fleet.all = {}
for _ = 1, 3 do fleet:add() end
for _, gateway in ipairs(fleet.all) do
  fleet:wait_for_status(gateway.operators, "/readyz", 200)
end
expect_evacuated(runs_by_target(4), 2)

-- All targets are out: callers are told at once, and that nothing has run.
evacuate("a")
runner.pump(kEvacuateMs)
local before = #fleet:runs()
for _, ask in ipairs{draft, function(gateway)
  return fleet:request{path = "/stock/1", gateway = gateway}
end} do
  local start_ms = now_ms()
  local answer = ask(fleet.all[2])
  expect_equal(503, answer.status, "all data centres are evacuated")
  expect(answer.headers["retry-after"], "a time to come back")
  expect(now_ms() - start_ms < 1000, "took " .. now_ms() - start_ms .. " ms")
end
expect_equal(before, #fleet:runs(), "runs")

-- While the store is silent, what it said before holds.
take_back("a")
runner.pump(kEvacuateMs)
fleet:control("store", {how = "silent"})
runner.pump(1500)
expect_evacuated(runs_by_target(2), 2)
fleet:control("store", {how = ""})

take_back("b")
wait_until(function()
  local counts = runs_by_target(2)
  return works(counts, "plain-2") and works(counts, "engine-2")
end, 20000, "data centre b gets work again")
fleet:stop()
