-- While callers keep connecting during a graceful stop, every request that the
-- gateway read is completed, and the process exits within its grace period.
local gateways = require("gateways")
local kGraceS = 5
local fleet = gateways.start{settings = {["/stop/grace_s"] = kGraceS}}
local gateway = fleet.all[1]

-- Each stream takes about 1.5 seconds.
fleet:set_behaviour{service = "engine", events = 30, event_ms = 50}
local function start_stream()
  local opened, socket = pcall(connect, gateway.callers)
  if not opened then return nil end
  socket:send(gateways.bytes{method = "POST", path = "/notes/1", body = "x",
                             headers = {Accept = "text/event-stream"}})
  return socket
end

local idle = connect(gateway.callers)
idle:send(gateways.bytes{path = "/stock/1"})
idle:wait_for("ran", 3000)

local streams, refused = {}, 0
for round = 1, 120 do
  if round == 10 then
    gateway.process:stop()
  end
  local socket = start_stream()
  if socket then streams[#streams + 1] = socket else refused = refused + 1 end
  runner.pump(45)
  if not gateway.process:running() then break end
end
expect_equal(0, gateway.process:wait(kGraceS * 1000), "clean exit")
-- By the gateway's own times: those of this script include its own pauses.
local lines = fleet:log_lines(gateway)
local took_us = gateways.event(lines, "stopped").time_us -
                    gateways.event(lines, "stopping").time_us
expect(took_us < kGraceS * 1000000, "stopped after " .. took_us .. " us")
expect(refused > 0, "late connections are refused")
local truncated = 0
for _, socket in ipairs(streams) do
  local answer = gateways.parse(socket:read())
  -- A connection that was no longer accepted has no response at all.
  if answer and not answer.complete then truncated = truncated + 1 end
end
expect_equal(0, truncated, "truncated streams, of " .. #streams)
idle:read()
expect(idle.closed, "the idle connection was closed")

fleet:stop()
