-- A gateway falls silent, and another start under its name links before the old
-- links have timed out: the others treat it as lost and as joined, so that it is
-- told what they know.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}
local first, silent = fleet.all[1], fleet.all[2]

local function links(event)
  local count = 0
  for _, line in ipairs(fleet:log_lines(first)) do
    if line.event == event and line.gateway == silent.name then
      count = count + 1
    end
  end
  return count
end
wait_until(function() return links("gateway_linked") == 1 end, 5000, "linked")

-- Both learn of a limit that the new start could not know from its own calls.
fleet:set_behaviour{service = "plain", limits = {"2"}}
expect_equal(200, fleet:request{path = "/stock/1"}.status, "limit named")

silent.process:pause()
local started_ms = now_ms()
local new = fleet:add{["/name"] = silent.name}
wait_until(function() return links("gateway_linked") == 2 end, 5000,
           "the new start joined")
expect(now_ms() - started_ms < 1000, "before the old links timed out")
expect_equal(1, links("gateway_lost"), "times that the old start was lost")
wait_until(function()
  return gateways.event(fleet:log_lines(new), "limit_named") ~= nil
end, 2000, "the new start was told the limit")

silent.process:kill()
fleet:stop()
