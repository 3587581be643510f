-- A graceful stop waits until callers that read slowly have their whole
-- responses, and then ends without waiting for the grace period.
local gateways = require("gateways")
local kGraceS = 10
local kBytes = 4000000
-- Read from each connection in 20 ms: about 8 Mbit/s.
local kPassBytes = 20000
local fleet = gateways.start{settings = {["/stop/grace_s"] = kGraceS}}
local gateway = fleet.all[1]
fleet:set_behaviour{service = "plain", padding = kBytes}
fleet:configure(gateways.document(2, function(document)
  document.routes[1]["timeout-ms"] = 9000
end))

--- Opens a connection and requests a response of kBytes.
local function open(headers)
  local socket = connect(gateway.callers)
  socket:send(gateways.bytes{path = "/stock/1", headers = headers})
  return socket
end

--- Returns the number of log lines of one event.
local function count(event)
  local found = 0
  for _, line in ipairs(fleet:log_lines(gateway)) do
    if line.event == event then found = found + 1 end
  end
  return found
end

local kept, closed, ends_sending = open(), open{Connection = "close"},
                                   open{Connection = "close"}
wait_until(function() return count("routed") == 3 end, 2000, "requests are read")
gateway.process:stop()
local stopped_at = now_ms()
local shut = false
wait_until(function()
  local done = 0
  for _, socket in ipairs{kept, closed, ends_sending} do
    socket:read(kPassBytes)
    if socket.closed then done = done + 1 end
  end
  if not shut and count("answered") == 3 then
    ends_sending:shutdown()
    shut = true
  end
  runner.pump(20)
  return done == 3
end, kGraceS * 1000, "all connections are closed")
local took = now_ms() - stopped_at
for name, socket in pairs{kept = kept, closed = closed,
                          ends_sending = ends_sending} do
  expect(gateways.parse(socket.received).complete,
         name .. " has the whole response, of " .. #socket.received)
  expect(not socket.reset, name .. " was closed in order")
end
expect(took > 2400, "the responses took longer than an idle stop: " .. took)
expect_equal(0, gateway.process:wait(kGraceS * 1000), "clean exit")
expect(now_ms() - stopped_at < kGraceS * 1000 - 1000,
       "ends when all is delivered")
for _, line in ipairs(fleet:log_lines(gateway)) do
  if line.event == "stopped" then
    expect_equal(0, line.bytes_given_up, "nothing is given up")
  end
end

fleet:stop()
