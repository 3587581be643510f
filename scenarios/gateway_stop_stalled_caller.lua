-- A caller that reads nothing does not hold up a stop beyond the grace period;
-- what it lacks is counted and logged with the request's id.
local gateways = require("gateways")
local kGraceS = 4
local fleet = gateways.start{settings = {["/stop/grace_s"] = kGraceS}}
local gateway = fleet.all[1]
fleet:set_behaviour{service = "plain", padding = 900000}

local stalled = connect(gateway.callers)
stalled:send(gateways.bytes{path = "/stock/1", id = "00000000000000aa"})
--- Returns the only log line of an event, if there is one. Of connections to
--- servers there may be others: a call to the store may be on its way.
local function line_of(event)
  local found
  for _, line in ipairs(fleet:log_lines(gateway)) do
    if line.event == event and line.direction ~= "to a server" then
      expect(not found, event .. " is logged once")
      found = line
    end
  end
  return found
end
wait_until(function() return line_of("answered") end, 3000, "is answered")

gateway.process:stop()
local stopped_at = now_ms()
expect_equal(0, gateway.process:wait(kGraceS * 1000), "clean exit")
expect(now_ms() - stopped_at > 2500, "waits for the caller")
local given_up = line_of("bytes_undelivered")
expect(given_up, "the connection is logged")
expect_equal("stop", given_up.why, "why")
expect_equal("00000000000000aa", given_up.request_id, "request id")
local stopped = line_of("stopped")
expect_equal(0, stopped.requests_given_up, "requests given up")
expect_equal(1, stopped.responses_given_up, "responses given up")
expect(stopped.bytes_given_up > 0 and stopped.bytes_given_up ==
           given_up.bytes_unsent + given_up.bytes_unacknowledged,
       "bytes given up: " .. stopped.bytes_given_up)

fleet:stop()
