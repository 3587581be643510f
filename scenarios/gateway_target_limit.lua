-- A target that names a request limit gets no more than that from all gateways
-- together, and still gets what it takes; other targets serve the rest.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 4}
local kLimit = 2

local function query() return {path = "/stock/1"} end
fleet:set_behaviour{id = "plain-1", limits = {tostring(kLimit)}}
local sent = limits.load(fleet, {gap_ms = 35, time_ms = 9000, request = query})
limits.expect_bound(fleet, "plain-1", kLimit)
expect_equal(#sent, limits.count_status(sent, 200), "served")
local first = limits.arrivals(fleet, "plain-1")[1]
local got = limits.count(fleet, "plain-1", first + 3000, first + 9000)
expect(got >= 6 * kLimit / 2, "the limited target still serves, got " .. got)

-- When the target no longer names a limit, it gets its share again.
fleet:set_behaviour{id = "plain-1"}
local ended_ms = limits.now_ms(fleet)
sent = limits.load(fleet, {gap_ms = 35, time_ms = 5000, request = query})
expect_equal(#sent, limits.count_status(sent, 200), "served after the limit")
got = limits.count(fleet, "plain-1", ended_ms + 2000)
expect(got > 20, "the target is used again, got " .. got)

fleet:stop()
