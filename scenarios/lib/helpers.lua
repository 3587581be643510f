-- The verbs of scenarios, on top of the functions of the runner.
-- Every wait is for a condition and has a limit.

local kPumpMs = 5
local kDefaultLimitMs = 10000

--- Ends the scenario unless the condition holds.
function expect(condition, text)
  if not condition then error("expected: " .. (text or "condition"), 2) end
  return condition
end

--- Ends the scenario unless both values are equal.
function expect_equal(wanted, found, text)
  if wanted ~= found then
    error(string.format("%s: expected %s, found %s", text or "value",
                        tostring(wanted), tostring(found)), 2)
  end
end

--- Waits until a function returns a true value, and returns that value.
function wait_until(condition, limit_ms, text)
  local limit = limit_ms or kDefaultLimitMs
  local last = runner.now_ms() + limit
  while true do
    local value = condition()
    if value then return value end
    if runner.now_ms() > last then
      error("not within " .. limit .. " ms: " .. (text or "condition"), 2)
    end
    runner.pump(kPumpMs)
  end
end

--- Expects that a condition keeps holding for a while.
function expect_for(time_ms, condition, text)
  local last = runner.now_ms() + time_ms
  while runner.now_ms() < last do
    expect(condition(), text)
    runner.pump(kPumpMs)
  end
end

now_ms = runner.now_ms
sha256 = runner.sha256
free_port = runner.free_port
encode = runner.encode
decode = runner.decode

local process = {}
process.__index = process

--- Starts a binary. Settings are given by JSON pointer.
function start(binary, settings)
  return setmetatable({id = runner.spawn(binary, settings)}, process)
end

function process:kill() runner.signal(self.id, "KILL") end
function process:stop() runner.signal(self.id, "TERM") end
function process:pause() runner.signal(self.id, "STOP") end
function process:reload() runner.signal(self.id, "HUP") end
function process:continue() runner.signal(self.id, "CONT") end
function process:exit_code() return runner.exit_code(self.id) end
function process:running() return runner.exit_code(self.id) == nil end
function process:resident_kb() return runner.resident_kb(self.id) end

--- Waits for the end of the process and returns its exit code; a process ended
--- by a signal has minus the signal's number.
function process:wait(limit_ms)
  wait_until(function() return not self:running() end, limit_ms,
             "end of process " .. self.id)
  return self:exit_code()
end

local call = {}
call.__index = call

--- Starts an HTTP call and returns at once.
function http_async(options)
  return setmetatable({id = runner.http_start(options)}, call)
end

function call:state() return runner.http_state(self.id) end
function call:done() return self:state().done end
function call:body() return self:state().body end
function call:cancel() runner.http_cancel(self.id) end

--- Waits for the end of the call.
function call:wait(limit_ms)
  wait_until(function() return self:done() end, limit_ms or 30000,
             "end of HTTP call")
  local answer = self:state()
  answer.json = answer.body ~= "" and decode(answer.body) or nil
  return answer
end

--- Makes an HTTP call: {status, complete, failure, body, json}.
function http(options) return http_async(options):wait() end

local relay_methods = {}
relay_methods.__index = relay_methods

--- Opens a relay in front of a port.
function relay(to_port)
  local port = free_port()
  return setmetatable({id = runner.relay_open(port, to_port), port = port},
                      relay_methods)
end

--- Silences the connections that are open now: "both", "to_server" or
--- "to_client". New ones work.
function relay_methods:silence(way)
  local action = "silence"
  if way and way ~= "both" then action = "silence_" .. way end
  runner.relay_do(self.id, action)
end
function relay_methods:cut() runner.relay_do(self.id, "cut") end
function relay_methods:refuse() runner.relay_do(self.id, "refuse") end
function relay_methods:accept() runner.relay_do(self.id, "admit") end
function relay_methods:accepted_count()
  return runner.relay_accepted(self.id)
end

local socket = {}
socket.__index = socket

--- Opens a TCP connection for bytes that no HTTP client would send.
function connect(port)
  return setmetatable({id = runner.socket_open(port), received = "",
                       closed = false}, socket)
end

function socket:send(bytes) return runner.socket_send(self.id, bytes) end
function socket:shutdown() runner.socket_shutdown(self.id) end
function socket:close() runner.socket_close(self.id) end

--- Reads what has arrived; returns all bytes so far.
function socket:read()
  local bytes, closed = runner.socket_read(self.id)
  self.received = self.received .. bytes
  self.closed = self.closed or closed
  return self.received
end

--- Waits until the bytes received contain a text.
function socket:wait_for(text, limit_ms)
  wait_until(function() return self:read():find(text, 1, true) end, limit_ms,
             "bytes '" .. text .. "'")
  return self.received
end

--- Waits until the peer closes the connection.
function socket:wait_closed(limit_ms)
  wait_until(function() self:read() return self.closed end, limit_ms,
             "connection closed by the peer")
  return self.received
end
