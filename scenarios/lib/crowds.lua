-- Crowds of callers that the system does not control, before one gateway: it
-- lives, stays within its memory and descriptors, and serves an ordinary caller
-- afterwards, while the crowd's connections are still open.

local gateways = require("gateways")
local process_memory = require("process_memory")
local usage_cap = require("usage_cap")

local crowds = {}

-- Memory of the VM in MB, as in the gateway's settings, and of all descriptors.
local kMemoryMb = 96
local kMaxDescriptors = 400
local kCallers = 60
-- What a caller may send, and sends but for its end.
local kBodyBytes = 2000000
local kPartBytes = 65536
-- Longest time in which a crowd sends; a gateway may close its connections.
local kSendLimitMs = 30000
local kAnswerLimitMs = 15000
-- Times that a large request is sent.
local kTries = 5

crowds.body_bytes = kBodyBytes

--- Starts a gateway with the small memory of these tests. Options:
--- max_descriptors.
function crowds.start(options)
  local max_descriptors = options and options.max_descriptors or kMaxDescriptors
  local fleet = gateways.start{
    without_routes = true,
    settings = {["/capacity/memory_mb"] = kMemoryMb,
                ["/net/max_connections"] = max_descriptors}}
  fleet.max_descriptors = max_descriptors
  fleet.memory = process_memory.of(fleet.all[1].process)
  fleet:configure(gateways.document(10, function(document)
    document.limits["max-body-bytes"] = kBodyBytes
    document.limits["header-timeout-ms"] = 10000
    document.limits["idle-timeout-ms"] = 30000
    for _, route in ipairs(document.routes) do route["timeout-ms"] = 20000 end
  end))
  fleet:wait_for_status(fleet.all[1].operators, "/readyz", 200)
  return fleet
end

--- Returns the head of a request with a body; framing is its header.
function crowds.head(framing, method, key)
  return table.concat({(method or "POST") .. " /stock/1 HTTP/1.1",
                       "Host: " .. gateways.host,
                       "X-Wisteriadale-Request-Id: " .. gateways.new_id(),
                       "X-Wisteriadale-Key: " .. (key or gateways.key),
                       framing}, "\r\n") .. "\r\n\r\n"
end

--- Returns a whole body in chunks of a size, without the last chunk.
function crowds.chunks(total, size)
  local chunk = string.format("%x\r\n%s\r\n", size, ("x"):rep(size))
  return chunk:rep(total // size)
end

--- Sends to all callers in turn, a part at a time, until each has sent all that
--- it is to send or its connection has failed. cap, if given, is that of the
--- process meanwhile.
local function send_in_turn(fleet, callers, part_bytes, cap, limit_ms)
  local until_ms = now_ms() + (limit_ms or kSendLimitMs)
  local left = #callers
  while left > 0 and now_ms() < until_ms do
    left = 0
    for _, caller in ipairs(callers) do
      if not caller.failed and caller.sent < caller.ends then
        local last = math.min(caller.sent + part_bytes, caller.ends)
        local sent = caller.socket:send_some(caller.text:sub(1, last), caller.sent)
        caller.failed = sent == nil
        caller.sent = caller.sent + (sent or 0)
        left = left + 1
      end
      fleet.memory:sample()
      if cap then cap:step(function() fleet.memory:sample_now() end) end
    end
    runner.pump(1)
  end
  if cap then cap:lift() end
end

--- Opens the crowd's connections and sends to all of them in turn, a part of
--- part_bytes at a time, all but the last byte. bytes(number) returns what a
--- caller sends. Options: part_bytes, callers, whole (send the last byte, too),
--- port, capped (the process has a fifth of a core meanwhile), send_limit_ms.
function crowds.send(fleet, bytes, options)
  options = options or {}
  local callers = {}
  for number = 1, options.callers or kCallers do
    local text = bytes(number)
    callers[number] = {socket = connect(options.port or fleet.all[1].callers),
                       text = text, ends = #text - (options.whole and 0 or 1),
                       sent = 0}
  end
  send_in_turn(fleet, callers, options.part_bytes or kPartBytes,
               options.capped and usage_cap.of(fleet.memory.process),
               options.send_limit_ms)
  return callers
end

--- Lets those callers whose connections have failed connect again and send the
--- same again, for some rounds.
function crowds.send_again(fleet, callers, rounds)
  for _ = 1, rounds do
    for _, caller in ipairs(callers) do
      caller.socket:read_some(kPartBytes)
      if caller.failed or caller.socket.closed then
        caller.socket:close()
        caller.socket = connect(fleet.all[1].callers)
        caller.failed, caller.sent = false, 0
      end
    end
    send_in_turn(fleet, callers, kPartBytes)
  end
end

function crowds.close(callers)
  for _, caller in ipairs(callers) do caller.socket:close() end
end

--- Expects that the gateway bore the crowd: to be called while the crowd's
--- connections are open.
function crowds.expect_served(fleet)
  local gateway = fleet.all[1]
  fleet.memory:pump(1000)
  expect(gateway.process:running(), "the gateway runs")
  fleet.memory:expect_within(kMemoryMb, "memory")
  local metrics = http{port = gateway.operators, path = "/metrics"}.body
  local open = tonumber(metrics:match("\nwisteria_open_descriptors (%d+)"))
  expect(open < fleet.max_descriptors, "descriptors: " .. open)
  local answer = fleet:send(gateways.bytes{path = "/stock/1"}, gateway,
                            kAnswerLimitMs)
  expect_equal(200, answer.status, "an ordinary caller")
  -- It comes back as it is told to while others hold the room.
  for _ = 1, kTries do
    answer = fleet:send(gateways.bytes{method = "POST", path = "/stock/1",
                                       body = ("y"):rep(kBodyBytes)}, gateway,
                        kAnswerLimitMs)
    if answer.status ~= 503 then break end
    expect(answer.headers["retry-after"], "a time to come back")
    fleet.memory:pump(math.ceil(1000 * tonumber(answer.headers["retry-after"])))
  end
  expect_equal(200, answer.status, "a large request within the limits")
  fleet.memory:sample()
  fleet.memory:expect_within(kMemoryMb, "memory at the end")
end

--- Expects that the gateway bore the crowd, and ends the scenario.
function crowds.expect_borne(fleet, callers)
  crowds.expect_served(fleet)
  crowds.close(callers)
  fleet:stop()
end

return crowds
