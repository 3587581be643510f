-- Targets that a soak plays byte by byte: sound ones, and those that crash, go
-- silent or answer oddly. They record what they run.

local messages = require("http_messages")
local paced_output = require("paced_output")

local soak_targets = {}
local target = {}
target.__index = target

local kBackAfterMs = 3000
local kDarkMs = 2000

--- Responses that are wrong, without end or break off, by name. Each gets the
--- output, the usual headers and the request.
local function head(headers, framing)
  return "HTTP/1.1 200 OK\r\n" .. headers .. framing .. "\r\n\r\n"
end
local function endless(framing, before, text)
  return function(out, headers)
    out:add(head(headers, framing) .. before)
    out:add_endless(text)
  end
end
local kChunks = "Transfer-Encoding: chunked"
soak_targets.odd = {
  chunk_extension = endless(kChunks, "5;a=", "b"),
  chunk_zeros = endless(kChunks, "0", "0"),
  trailer = endless(kChunks, "3\r\nran\r\n0\r\n", "A: b\r\n"),
  body_of_chunks = endless(kChunks, "", "5\r\n.....\r\n"),
  body_until_close = endless("Connection: close", "", "."),
  body_of_length = endless("Content-Length: 999999999999", "", "."),
  interim = function(out)
    out:add_endless("HTTP/1.1 100 Continue\r\n\r\n")
  end,
  header_line = function(out)
    out:add("HTTP/1.1 200 OK\r\nA: ")
    out:add_endless("b")
  end,
  header_lines = function(out)
    out:add("HTTP/1.1 200 OK\r\n")
    out:add_endless("A: b\r\n")
  end,
  no_http = function(out) out:add_endless("no answer ") end,
  blank_lines = function(out) out:add_endless("\r\n") end,
  part_then_reset = function(out, headers)
    out:add(head(headers, "Content-Length: 5000") .. "ran")
    return "reset"
  end,
  part_then_close = function(out, headers)
    out:add(head(headers, kChunks) .. "3\r\nran\r\n")
    return "close"
  end,
  silent = function() end,
  close = function() return "close" end,
  unsigned = function(out)
    out:add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran")
  end,
  bytes_after = function(out, headers, run)
    out:add(head(headers, "Content-Length: 3") .. "ran")
    run.other_answer = "ran"
    out:add_endless("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
  end}
soak_targets.odd_names = {}
for name in pairs(soak_targets.odd) do
  soak_targets.odd_names[#soak_targets.odd_names + 1] = name
end
-- Answers before the body is read, and reads on.
soak_targets.odd_names[#soak_targets.odd_names + 1] = "early_answer"
table.sort(soak_targets.odd_names)

-- How long targets are cold, and what each bears meanwhile in a second.
soak_targets.cold_ms = 2000
soak_targets.cold_per_s = 2

--- Starts a target. soak records its runs and is told of failures. Without a
--- service it is not registered, and every call to it gets an odd response.
function soak_targets.start(soak, id, service)
  local self = setmetatable({soak = soak, name = id, id = id,
                             service = service, port = free_port(),
                             connections = {}, starts = 0, work_ms = 10,
                             zone = "a", cold_per_s = soak_targets.cold_per_s},
                            target)
  -- Every other target is in the data centre that faults evacuate.
  if (tonumber(id:match("%d+$")) or 1) % 2 == 0 then self.zone = "b" end
  self.relay = relay(self.port)
  self:open()
  return self
end

function target:open()
  self.starts = self.starts + 1
  self.acceptor = listen(self.port)
  self.down_until, self.dark_until = nil, nil
  if not self.service then return end
  if self.starts > 1 then
    self.soak.fleet:remove_target(self)
    self.id = self.name .. "-" .. self.starts
  end
  self.soak.fleet:register_target(
      {id = self.id, service = self.service, port = self.relay.port},
      {slots = 48, born = self.starts, zone = self.zone,
       ["cold-remaining-ms"] = self.returns_cold and soak_targets.cold_ms or 0})
  self.cold_until = self.returns_cold and now_ms() + soak_targets.cold_ms or nil
  self.returns_cold, self.cold_arrivals = false, {}
end

--- Ends all runs; the target returns later with another id.
function target:crash(back_after_ms)
  self:disturb()
  for connection in pairs(self.connections) do
    self:drop(connection, "reset")
  end
  if self.acceptor then self.acceptor:close() end
  self.acceptor = nil
  self.down_until = now_ms() + (back_after_ms or kBackAfterMs)
end

--- Stays silent before it crashes.
function target:go_dark()
  self.dark_until = now_ms() + kDarkMs
  self:disturb()
end

function target:drop(connection, how)
  if how == "reset" then connection.socket:abort()
  else connection.socket:close() end
  self.connections[connection] = nil
end

local function reply(connection, status, headers, body)
  connection.out:add("HTTP/1.1 " .. status .. "\r\n" .. headers ..
                         "Content-Length: " .. #body .. "\r\n\r\n" .. body)
end

--- Responds to a call of a stage; a piece with a bad key crashes the target.
function target:run_pieces(connection, request)
  local call = decode(request.body)
  local items = {}
  for number, item in ipairs(call and call.items or {}) do
    if item.key == self.soak.bad_key then
      self.soak:crashed("piece", item.id)
      self:crash()
      return
    end
    items[number] = {handle = "127.0.0.1:" .. self.relay.port .. "/" ..
                         self.soak.next_number()}
  end
  reply(connection, "200 OK", "", encode{items = items})
end

--- Runs a complete request.
function target:run(connection, request)
  local id = request.headers["x-wisteriadale-request-id"] or ""
  local expected = request.headers["x-wisteriadale-expect-instance"]
  local headers = id ~= "" and "X-Wisteriadale-Request-Id: " .. id .. "\r\n" or ""
  if not self.service then
    local odd = soak_targets.odd[self.mode] or soak_targets.odd.close
    connection.last = odd(connection.out, headers, {})
  elseif request.path == "/healthz" then
    reply(connection, "200 OK", "", "")
  elseif expected and expected ~= self.id then
    reply(connection, "421 Misdirected Request", headers, "")
  elseif request.path == "/v1/stage-run" then
    self:run_pieces(connection, request)
  elseif request.path == "/v1/stage-free" then
    reply(connection, "200 OK", "", "{}")
  elseif self.mode == "shed" then
    reply(connection, "503 Service Unavailable",
          headers .. "X-Wisteriadale-Not-Executed: 1\r\n", "")
  else
    self:run_request(connection, request, id, headers)
  end
end

function target:run_request(connection, request, id, headers)
  local run = self.soak:record_run(id, request, self)
  connection.run = run
  local how = request.path:match("how=(%a+)")
  if how then
    self.soak:crashed(how, id)
    if how == "crash" then self:crash() else self:go_dark() end
    return
  end
  headers = headers .. "X-Wisteriadale-Response-Signature: " .. self.id .. "\r\n"
  if self.mode and soak_targets.odd[self.mode] then
    run.broke = true
    connection.last = soak_targets.odd[self.mode](connection.out, headers, run)
    return
  end
  local size = tonumber(request.path:match("bytes=(%d+)")) or 0
  local text = ("ran " .. id .. " "):sub(1, size)
  connection.out:add(head(headers, "Content-Length: " .. size) .. text)
  connection.out:add_dots(size - #text)
end

function target:serve(connection, elapsed_ms)
  if connection.due then
    if now_ms() < connection.due then return end
    connection.due = nil
    local request = connection.request
    connection.request = messages.new(false)
    local rest = request.buffer
    self:run(connection, request)
    if not self.connections[connection] then return end
    connection.request:feed(rest)
  end
  if self.dark_until then return end
  if not connection.out:flush() then return self:drop(connection, "close") end
  if not connection.out:empty() then return end
  if connection.last then return self:drop(connection, connection.last) end
  local limit = self.read_rate and math.ceil(self.read_rate * elapsed_ms / 1000)
  connection.run = nil
  connection.request:feed(connection.socket:read_some(limit or 1048576))
  if connection.request.complete and connection.answered then
    local rest = connection.request.buffer
    connection.request, connection.answered = messages.new(false), false
    connection.request:feed(rest)
  elseif connection.request.complete then
    connection.due = now_ms() + self.work_ms
  elseif self.mode == "early_answer" and not connection.answered and
      connection.request.body_bytes > 0 then
    connection.answered = true
    self:run(connection, connection.request)
  elseif connection.socket.closed then
    self:drop(connection, "close")
  end
end

--- Serves what has arrived; called in each turn of the soak.
function target:turn(elapsed_ms)
  if self.frozen then return end
  if self.down_until then
    if now_ms() >= self.down_until then self:open() end
    return
  end
  if self.dark_until and now_ms() >= self.dark_until then
    return self:crash(kBackAfterMs - kDarkMs)
  end
  while not self.dark_until do
    local socket = self.acceptor:accept()
    if not socket then break end
    self.connections[{socket = socket, request = messages.new(false),
                      out = paced_output.new(socket)}] = true
  end
  local open = {}
  for connection in pairs(self.connections) do open[#open + 1] = connection end
  for _, connection in ipairs(open) do
    if self.acceptor and self.connections[connection] then
      self:serve(connection, elapsed_ms)
    end
  end
end

--- Marks what the target runs now as broken by the soak itself.
function target:disturb()
  self.disturbed_ms = now_ms()
  for connection in pairs(self.connections) do
    if connection.run then connection.run.broke = true end
  end
end

return soak_targets
