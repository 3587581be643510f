-- Global functions of the scenarios, on top of those of the C++ runner: checks,
-- processes, HTTP calls, relays and sockets. Every wait is for a condition and
-- has a limit.

local kPumpMs = 5
local kDefaultLimitMs = 10000

--- Ends the scenario unless the condition holds.
function expect(condition, text)
  if not condition then error("expected: " .. (text or "condition"), 2) end
  return condition
end

--- Ends the scenario unless both values are equal.
function expect_equal(expected, actual, text)
  if expected ~= actual then
    error(string.format("%s: expected %s, got %s", text or "value",
                        tostring(expected), tostring(actual)), 2)
  end
end

--- Waits until a function returns a true value, and returns it. Ends the
--- scenario after limit_ms.
function wait_until(condition, limit_ms, text)
  local limit = limit_ms or kDefaultLimitMs
  local deadline_ms = runner.now_ms() + limit
  while true do
    local value = condition()
    if value then return value end
    if runner.now_ms() > deadline_ms then
      error("timed out after " .. limit .. " ms: " .. (text or "condition"), 2)
    end
    runner.pump(kPumpMs)
  end
end

--- Expects that a condition holds throughout time_ms.
function expect_for(time_ms, condition, text)
  local end_ms = runner.now_ms() + time_ms
  while runner.now_ms() < end_ms do
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

--- Starts a program. Settings are named by JSON pointer. max_files, if given,
--- is its limit of open descriptors.
function start(binary, settings, max_files)
  return setmetatable({id = runner.spawn(binary, settings, max_files or 0)},
                      process)
end

function process:kill() runner.signal(self.id, "KILL") end
function process:stop() runner.signal(self.id, "TERM") end
function process:pause() runner.signal(self.id, "STOP") end
function process:reload() runner.signal(self.id, "HUP") end
function process:continue() runner.signal(self.id, "CONT") end
function process:exit_code() return runner.exit_code(self.id) end
function process:running() return runner.exit_code(self.id) == nil end
function process:resident_kb() return runner.resident_kb(self.id) end
--- Returns the highest resident memory so far.
function process:peak_kb() return runner.peak_kb(self.id) end
--- Returns the bytes received over TCP and not read yet, in kilobytes.
function process:unread_kb() return runner.unread_kb(self.id) end
function process:has_sockets() return runner.has_sockets(self.id) end

--- Waits until the process has ended and returns its exit code, or the negative
--- number of the signal that ended it.
function process:wait(limit_ms)
  wait_until(function() return not self:running() end, limit_ms,
             "exit of process " .. self.id)
  return self:exit_code()
end

local call = {}
call.__index = call

--- Starts an HTTP call without waiting for the response.
function http_async(options)
  return setmetatable({id = runner.http_start(options)}, call)
end

function call:state() return runner.http_state(self.id) end
function call:done() return self:state().done end
function call:body() return self:state().body end
function call:cancel() runner.http_cancel(self.id) end

--- Waits until the call has ended, and returns its final state.
function call:wait(limit_ms)
  wait_until(function() return self:done() end, limit_ms or 30000,
             "completion of the HTTP call")
  local answer = self:state()
  answer.json = answer.body ~= "" and decode(answer.body) or nil
  return answer
end

--- Makes an HTTP call and returns {status, complete, failure, body, json}.
function http(options) return http_async(options):wait() end

local relay_methods = {}
relay_methods.__index = relay_methods

--- Opens a TCP relay in front of a port, to inject connection faults.
function relay(to_port)
  local port = free_port()
  return setmetatable({id = runner.relay_open(port, to_port), port = port},
                      relay_methods)
end

--- Lets neither bytes nor closes pass any more on the connections that are open
--- now, in the direction "both" (default), "to_server" or "to_client". New
--- connections work.
function relay_methods:silence(direction)
  local action = "silence"
  if direction and direction ~= "both" then
    action = "silence_" .. direction
  end
  runner.relay_do(self.id, action)
end
--- Closes the connections that are open now.
function relay_methods:cut() runner.relay_do(self.id, "cut") end
--- Resets the connections that are open now.
function relay_methods:reset() runner.relay_do(self.id, "reset") end
--- Limits each direction of each connection; 0 removes the limit.
function relay_methods:pace(bytes_per_s)
  runner.relay_do(self.id, "pace", bytes_per_s)
end
--- Connects new connections to another port.
function relay_methods:redirect(port)
  runner.relay_do(self.id, "redirect", port)
end
--- Closes new connections at once, until accept is called.
function relay_methods:refuse() runner.relay_do(self.id, "refuse") end
function relay_methods:accept() runner.relay_do(self.id, "admit") end
--- Returns how many connections were accepted so far.
function relay_methods:accepted_count()
  return runner.relay_accepted(self.id)
end

local socket = {}
socket.__index = socket

local function wrap_socket(id)
  return setmetatable({id = id, received = "", closed = false, reset = false},
                      socket)
end

--- Opens a TCP connection, for raw bytes that an HTTP client would not send.
--- Options: receive_buffer and max_segment, in bytes.
function connect(port, options)
  options = options or {}
  return wrap_socket(runner.socket_open(port, options.receive_buffer,
                                        options.max_segment))
end

local acceptor = {}
acceptor.__index = acceptor

--- Listens on a port, for a peer that the scenario plays itself.
function listen(port)
  return setmetatable({id = runner.listen(port)}, acceptor)
end
--- Returns the next connection, or nil while there is none.
function acceptor:accept()
  local id = runner.accept(self.id)
  return id and wrap_socket(id)
end
function acceptor:close() runner.unlisten(self.id) end

function socket:send(bytes) return runner.socket_send(self.id, bytes) end
--- Sends what the connection takes without waiting, from an offset in bytes.
--- Returns the number of bytes, or nil when the connection failed.
function socket:send_some(bytes, offset)
  return runner.socket_send_some(self.id, bytes, offset or 0)
end
--- Reads up to limit bytes without blocking, and does not keep them.
function socket:read_some(limit)
  if self.closed then return "" end
  local bytes
  bytes, self.closed, self.reset = runner.socket_read(self.id, limit)
  return bytes
end
--- Closes the connection with a reset.
function socket:abort() runner.socket_reset(self.id) end
function socket:shutdown() runner.socket_shutdown(self.id) end
function socket:close() runner.socket_close(self.id) end

--- Reads without blocking, about max_bytes at most if given, and returns all
--- bytes received so far.
function socket:read(max_bytes)
  if self.closed then return self.received end
  local bytes
  bytes, self.closed, self.reset = runner.socket_read(self.id, max_bytes)
  self.received = self.received .. bytes
  return self.received
end

--- Waits until the bytes received contain a text.
function socket:wait_for(text, limit_ms)
  wait_until(function() return self:read():find(text, 1, true) end, limit_ms,
             "received text '" .. text .. "'")
  return self.received
end

--- Waits until the peer closes the connection, and returns all bytes received.
function socket:wait_closed(limit_ms)
  wait_until(function() self:read() return self.closed end, limit_ms,
             "connection is closed by the peer")
  return self.received
end
