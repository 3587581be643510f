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

-- Another target has taken over an address: the limit that it names is its own,
-- not that of the target that was meant.
fleet:set_behaviour{id = "plain-2", limits = {"1"}}
local other = fleet.targets[2]
expect_equal("plain-2", other.id, "the target at that address")
fleet:register_target({id = "plain-3", service = "plain", port = other.port})
fleet:control("rows", {table = "servers", key = "plain-2"})
local function misdirected()
  fleet:request{path = "/stock/1"}
  for _, line in ipairs(fleet:log_lines(fleet.all[1])) do
    if line.event == "attempt_ended" and line.target == "plain-3" then
      return line
    end
  end
end
expect_equal(421, wait_until(misdirected, 8000, "misdirected").status, "status")
for _, gateway in ipairs(fleet.all) do
  for _, line in ipairs(fleet:log_lines(gateway)) do
    expect(line.event ~= "limit_named" or line.target ~= "plain-3",
           "no limit for the target that did not respond")
  end
end

fleet:stop()
