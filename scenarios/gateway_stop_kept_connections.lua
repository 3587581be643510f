-- Guards against requests that were taken from a kept connection during a
-- planned stop and cut at its end: callers send on as soon as a stream ends
-- whose head, sent before the stop, did not say that its connection closes.
local gateways = require("gateways")
local kGraceS = 5
local kCallers = 6
local kEventMs = 100
local kEvents = 26
local kLongWorkMs = 8000
local fleet = gateways.start{settings = {["/stop/grace_s"] = kGraceS}}
local gateway = fleet.all[1]
fleet:configure(gateways.document(11, function(document)
  for _, route in ipairs(document.routes) do route["timeout-ms"] = 15000 end
end))
runner.pump(1000)

-- The route of the later requests has had short responses only.
local function later_request(number, id)
  return gateways.bytes{path = "/stock/" .. number, id = id}
end
for number = 1, 3 do
  expect_equal(200, fleet:request{path = "/stock/" .. number}.status,
               "before the stop")
end
fleet:set_behaviour{service = "engine", events = kEvents, event_ms = kEventMs}
local calls = {}
for number = 1, kCallers do
  local call = {socket = connect(gateway.callers), later = gateways.new_id()}
  call.socket:send(gateways.bytes{method = "POST", path = "/notes/" .. number,
                                  body = "x", id = gateways.new_id(),
                                  headers = {Accept = "text/event-stream"}})
  calls[number] = call
end
runner.pump(3 * kEventMs)
gateway.process:stop()
fleet:set_behaviour{service = "plain", work_ms = kLongWorkMs}
wait_until(function()
  local left = 0
  for number, call in ipairs(calls) do
    local answer = gateways.parse(call.socket:read())
    if answer and answer.complete and not call.first then
      call.first = answer
      -- Half of the callers send two requests at once.
      call.socket:send(later_request(number, call.later))
      if number % 2 == 0 then
        call.socket:send(later_request(number, gateways.new_id()))
      end
    end
    if not call.socket.closed then left = left + 1 end
  end
  return left == 0
end, (kGraceS + 1) * 1000, "all connections are closed")
expect_equal(0, gateway.process:wait(kGraceS * 1000), "clean exit")

for number, call in ipairs(calls) do
  expect(call.first ~= nil, "stream " .. number .. " is whole")
  expect_equal(nil, call.first.headers.connection,
               "stream " .. number .. " began before the stop")
  expect_equal(0, #fleet:own_runs(call.later),
               "request behind stream " .. number .. " did not run")
end
fleet:stop()
