-- A target that runs stages and names a request limit gets no more calls than
-- that; the other one computes the rest of the pieces.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 3}
local kLimit = 2

fleet:set_behaviour{service = "engine", events = 2, event_ms = 5}
fleet:set_behaviour{service = "first", work_ms = 20}
fleet:set_behaviour{id = "first-1", work_ms = 20, limits = {tostring(kLimit)}}
local sent = limits.load(fleet, {
  gap_ms = 40, time_ms = 9000,
  request = function()
    return {method = "POST", path = "/drafts/1", body = "x",
            headers = {Accept = "text/event-stream",
                       ["X-Wisteriadale-Pieces"] = "3,2",
                       ["X-Wisteriadale-Piece-Key"] = "0a"}}
  end})
limits.expect_bound(fleet, "first-1", kLimit)
local served = limits.count_status(sent, 200)
expect(served >= #sent * 0.9, "served " .. served .. " of " .. #sent)

fleet:stop()
