-- Crowds of callers that the system does not control, before one router: it
-- lives, stays within its memory and descriptors, and answers an ordinary caller
-- afterwards, while the crowd's connections are open.

local crowds = require("crowds")
local fleet = require("fleet")
local process_memory = require("process_memory")

local router_crowds = {}

-- Memory of the VM in MB, as in the router's settings, and of all descriptors.
local kMemoryMb = 96
local kMaxDescriptors = 600
-- What a caller may send, and sends but for its end.
local kBodyBytes = 1000000
local kTries = 5
local kPipeline = "lookup"

router_crowds.body_bytes = kBodyBytes
router_crowds.memory_mb = kMemoryMb

router_crowds.settings = {["/capacity/memory_mb"] = kMemoryMb,
                          ["/net/max_connections"] = kMaxDescriptors,
                          ["/log/level"] = "info"}

--- Starts a router with the small memory of these tests.
function router_crowds.start()
  local self = fleet.start{routers = 1, pools = {"stock"},
                           router = router_crowds.settings}
  self.memory = process_memory.of(self.routers[1])
  return self
end

--- Returns the head of a request with a body; framing is its header.
function router_crowds.head(framing, key)
  return "POST /v1/pipelines/" .. kPipeline .. "/requests HTTP/1.1\r\n" ..
             "Host: a\r\nAuthorization: Bearer " .. (key or fleet.api_key) ..
             "\r\n" .. framing .. "\r\n\r\n"
end

--- Returns a legal body of a size in bytes.
function router_crowds.body(bytes)
  return '{"item":"' .. ("x"):rep(bytes - 11) .. '"}'
end

--- Opens the crowd's connections and sends to all of them; see crowds.send.
function router_crowds.send(self, bytes, options)
  options = options or {}
  options.port = options.port or self.router_ports[1]
  return crowds.send(self, bytes, options)
end

--- Expects that the router bore the crowd, and ends the scenario: to be called
--- while the crowd's connections are open.
function router_crowds.expect_borne(self, callers)
  self.memory:pump(1000)
  self:expect_running()
  self.memory:expect_within(kMemoryMb, "memory")
  local open = fleet.metric(self.router_ports[1], "wisteria_open_descriptors")
  expect(open > 0 and open < kMaxDescriptors, "descriptors: " .. open)
  local answer = self:request(kPipeline, {item = "cone"})
  expect_equal(200, answer.status, "an ordinary caller: " .. answer.body)
  -- It comes back as it is told to while others hold the room.
  for _ = 1, kTries do
    answer = self:request(kPipeline, router_crowds.body(kBodyBytes))
    if answer.status ~= 503 then break end
    local retry_after_ms = answer.json.error.retry_after_ms
    expect(retry_after_ms, "a time to come back")
    self.memory:pump(retry_after_ms)
  end
  expect_equal(200, answer.status, "a large request: " .. answer.body)
  self.memory:sample()
  self.memory:expect_within(kMemoryMb, "memory at the end")
  crowds.close(callers)
  self:stop()
end

return router_crowds
