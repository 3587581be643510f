-- Callers of any pace get whole responses: buffered and streamed ones, on kept
-- connections and on those that close, while another one halts for seconds.
local gateways = require("gateways")
local fleet = gateways.start()
local gateway = fleet.all[1]
local kPassMs = 20
local kEvents = 60
fleet:configure(gateways.document(2, function(document)
  for _, route in ipairs(document.routes) do route["timeout-ms"] = 20000 end
end))

-- Bytes that a caller reads in each pass: 0.1, 1 and 8 Mbit/s, and all.
local kPaces = {250, 2500, 20000, 1000000}
-- Bytes of a response: within one write, buffered, and relayed as they come.
local kSizes = {1000, 20000, 200000, 1600000}
local callers = {}

local function open(pace, size, headers, halt_ms)
  local caller = {socket = connect(gateway.callers), pace = pace, size = size,
                  halted_until = now_ms() + (halt_ms or 0)}
  caller.socket:send(gateways.bytes{path = "/stock/1", headers = headers})
  callers[#callers + 1] = caller
end

local function read_all(limit_ms)
  wait_until(function()
    local done = 0
    for _, caller in ipairs(callers) do
      if not caller.done and now_ms() >= caller.halted_until then
        caller.socket:read(caller.pace)
        local length = #caller.socket.received
        -- Parsed only when it can be complete.
        if length >= caller.size or caller.socket.closed then
          local answer = gateways.parse(caller.socket.received)
          caller.done = answer ~= nil and answer.complete
          expect(caller.done or not caller.socket.closed,
                 caller.size .. " bytes at " .. caller.pace .. ": cut after " ..
                     length)
        end
      end
      if caller.done then done = done + 1 end
    end
    runner.pump(kPassMs)
    return done == #callers
  end, limit_ms, "all responses are complete")
  callers = {}
end

for number, size in ipairs(kSizes) do
  fleet:set_behaviour{service = "plain", padding = size}
  -- No pace takes more than some seconds for its largest response.
  for pace_number = number, #kPaces do
    open(kPaces[pace_number], size)
    open(kPaces[pace_number], size, {Connection = "close"})
  end
  if number == #kSizes then open(kPaces[number], size, nil, 2500) end
  read_all(15000)
end

-- Streams, with events faster than the slower callers read.
fleet:set_behaviour{service = "engine", events = kEvents, event_ms = 10}
for _, pace in ipairs(kPaces) do
  local caller = {socket = connect(gateway.callers), pace = pace, size = 0,
                  halted_until = 0}
  caller.socket:send(gateways.bytes{method = "POST", path = "/notes/1",
                                    body = "x",
                                    headers = {Accept = "text/event-stream"}})
  callers[#callers + 1] = caller
end
read_all(10000)

fleet:stop()
