-- A target that says in its responses that it leaves gets no new work, from any
-- gateway, though its entry says that it is ready; a later start does.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 3}
-- Time for a leaving target to get no new work.
local kDrainMs = 2000

local left_ms
local sent = limits.load(fleet, {
  gap_ms = 25, time_ms = 4500,
  request = function() return {path = "/stock/1"} end,
  at = {[30] = function()
    fleet:set_behaviour{id = "plain-1", headers = {"Server-Leaving", "1"}}
    left_ms = limits.now_ms(fleet)
  end, [60] = function()
    fleet:control("store", {how = "silent"})
  end}})
expect(limits.count(fleet, "plain-1", 0, left_ms) > 5, "plain-1 got work before")
expect_equal(0, limits.count(fleet, "plain-1", left_ms + kDrainMs),
             "requests at plain-1 after it said that it leaves")
expect_equal(#sent, limits.count_status(sent, 200), "requests served")
fleet:control("store", {how = ""})

-- Callers of a service whose targets all leave are answered at once.
fleet:set_behaviour{service = "plain", headers = {"Server-Leaving", "1"}}
for _, gateway in ipairs(fleet.all) do
  fleet:request{path = "/stock/1", gateway = gateway}
end
runner.pump(300)
local start_ms = now_ms()
local answer = fleet:request{path = "/stock/1"}
expect_equal(503, answer.status, "all targets leave")
expect(answer.headers["retry-after"], "a time to come back")
expect(now_ms() - start_ms < 500, "took " .. now_ms() - start_ms .. " ms")

-- It starts again, with the same id and address.
fleet:set_behaviour{id = "plain-1"}
fleet:register_target(fleet.targets[1], {born = 2})
wait_until(function()
  return fleet:request{path = "/stock/1"}.status == 200
end, 4000, "a target that started again gets work")

-- Stage calls count, too.
fleet:set_behaviour{service = "engine", events = 2, event_ms = 5}
fleet:set_behaviour{id = "first-1", headers = {"Server-Leaving", "1"}}
local function draft()
  return fleet:request{method = "POST", path = "/drafts/1", body = "x",
                       headers = {Accept = "text/event-stream",
                                  ["X-Wisteriadale-Pieces"] = "3,2",
                                  ["X-Wisteriadale-Piece-Key"] = "0a"}}
end
for _ = 1, 6 do expect_equal(200, draft().status, "a request with stages") end
runner.pump(300)
local before = #limits.arrivals(fleet, "first-1")
for _ = 1, 8 do expect_equal(200, draft().status, "a request with stages") end
expect_equal(before, #limits.arrivals(fleet, "first-1"), "calls at first-1")

fleet:stop()
