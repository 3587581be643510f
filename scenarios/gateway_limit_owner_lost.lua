-- Gateways are killed, restarted and paused while a target names a limit: the
-- target gets no more than the bound from all of them together.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 4}
local kLimit = 2

fleet:set_behaviour{service = "plain", limits = {tostring(kLimit)}}
local function kill(number)
  return function() fleet.all[number].process:kill() end
end
local function pause(number)
  return function()
    fleet.all[number].process:pause()
    fleet.all[number].paused = true
  end
end
local function resume(number)
  return function()
    fleet.all[number].process:continue()
    fleet.all[number].paused = false
  end
end
local sent = limits.load(fleet, {
  gap_ms = 40, time_ms = 15000,
  at = {[100] = kill(1), [150] = pause(2), [200] = resume(2),
        [225] = pause(3), [250] = function() fleet:add() end,
        [300] = resume(3), [320] = kill(3)},
  request = function() return {path = "/stock/1"} end})
limits.expect_bound(fleet, "plain-1", kLimit)
limits.expect_bound(fleet, "plain-2", kLimit)
expect(limits.count_status(sent, 200) >= 20, "requests are served, " ..
       limits.count_status(sent, 200) .. " of " .. #sent)

fleet:stop()
