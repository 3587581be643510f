-- A target names a limit while it gets much more than that: from 3 s later, any
-- window of 4 s holds at most the stated bound, though the first such windows
-- begin before the limit was named.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 4}
local kLimit = 2
local kContactMs, kWindowMs = 3000, 4000
local kAllowed = 1.5 * kLimit * kWindowMs / 1000 + 5

local named_ms
limits.load(fleet, {
  gap_ms = 35, time_ms = 10000,
  request = function() return {path = "/stock/1"} end,
  at = {[115] = function()
    fleet:set_behaviour{id = "plain-1", limits = {tostring(kLimit)}}
    named_ms = limits.now_ms(fleet)
  end}})

local times = limits.arrivals(fleet, "plain-1")
local first, busiest = 1, 0
for last, at_ms in ipairs(times) do
  while times[first] <= at_ms - kWindowMs do first = first + 1 end
  if at_ms >= named_ms + kContactMs then
    busiest = math.max(busiest, last - first + 1)
  end
end
local after = limits.count(fleet, "plain-1", named_ms + 200, named_ms + 4200)
expect(busiest <= kAllowed, "plain-1 got " .. busiest ..
       " requests in a window, allowed " .. kAllowed .. "; " .. after ..
       " in the 4 s after the limit was named")

fleet:stop()
