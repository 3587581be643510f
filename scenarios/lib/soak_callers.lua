-- Callers of a soak that follow the protocol, each at its own pace, and the
-- checks of what they receive.

local gateways = require("gateways")
local messages = require("http_messages")
local paced_output = require("paced_output")

local soak_callers = {}
local caller = {}
caller.__index = caller

local kLateMs = 500
local kLargeBytes = 16777216
local kMaxUploadBytes = 4194304

-- Rates in bytes a second; nil reads at once.
local kRates = {12500, 125000, 1000000}

--- Starts a caller. Options: rate, in bytes a second, and halt_ms, the length
--- of pauses in which it does not read.
function soak_callers.start(soak, number, options)
  return setmetatable({soak = soak, number = number, rate = options.rate,
                       halt_ms = options.halt_ms, next_ms = 0}, caller)
end

--- Starts a caller that reads one long answer of a gateway, at a steady pace.
function soak_callers.read_long_answer(soak, gateway, size, rate)
  local made = soak_callers.start(soak, 1, {rate = rate})
  made.only = {gateway = gateway, size = size}
  soak.callers[#soak.callers + 1] = made
end

--- Returns the options of a number of callers, most of which read at once.
function soak_callers.mix(random, count)
  local mix = {}
  for number = 1, count do
    mix[number] = {rate = number % 3 == 0 and kRates[random(#kRates)] or nil,
                   halt_ms = number % 5 == 0 and random(500, 4000) or nil}
  end
  return mix
end

--- Returns a size in bytes: mostly small, at times up to limit, and not more
--- than the rate allows in time_ms.
local function pick_size(random, limit, rate, time_ms)
  local size = random(0, 2000)
  local kind = random(10)
  if kind > 8 then size = random(0, limit) end
  if kind == 8 then size = random(0, 1000000) end
  return rate and math.min(size, rate * time_ms // 1000) or size
end

--- Chooses the next request.
function caller:choose()
  local random = self.soak.random
  local id = string.format("%016x", self.soak.next_number())
  local function pick(limit, time_ms)
    return pick_size(random, limit, self.rate, time_ms)
  end
  local request = {id = id, method = "GET", headers = {}, timeout_ms = 3000,
                   body_bytes = 0, size = pick(20000, 1000)}
  local kind = random(20)
  if self.only then
    kind = 0
    request.size, request.timeout_ms = self.only.size, 15000
    request.path = "/sheets/" .. id .. "?bytes=" .. request.size
  elseif kind <= 6 then
    request.path = "/stock/" .. id .. "?bytes=" .. request.size
  elseif kind <= 10 then
    request.method, request.unsafe = "POST", true
    request.body_bytes = pick(20000, 1000) + #id
    request.path = "/orders/" .. id .. "?bytes=" .. request.size
  elseif kind <= 13 then
    request.size = pick(kLargeBytes, 6000)
    request.timeout_ms = 15000
    request.path = "/sheets/" .. id .. "?bytes=" .. request.size
  elseif kind <= 15 then
    request.method, request.unsafe = "POST", true
    request.timeout_ms = 15000
    request.body_bytes = pick(kMaxUploadBytes - 100, 4000) + #id
    request.path = "/uploads/" .. id .. "?bytes=" .. request.size
  else
    request.stream = true
    request.method = "POST"
    request.body_bytes = #id
    request.path = (kind <= 17 and "/answers/" or kind <= 18 and "/notes/" or
                        "/drafts/") .. id
    request.headers["Accept"] = "text/event-stream"
    if kind > 18 then
      request.headers["X-Wisteriadale-Pieces"] = random(0, 2) .. "," ..
                                                     random(0, 3)
      request.headers["X-Wisteriadale-Piece-Key"] = "key-" .. id
    end
  end
  return request
end

--- Returns the head of a request and the number of dots behind it.
function soak_callers.bytes(request)
  local headers = {}
  for name, value in pairs(request.headers) do headers[name] = value end
  local body = ""
  if request.body_bytes > 0 then
    headers["Content-Length"] = request.body_bytes
    body = request.id
  end
  local head = gateways.bytes{method = request.method, path = request.path,
                              id = request.id, headers = headers,
                              key = request.key}
  return head .. body, request.body_bytes - #body
end

function caller:send()
  local soak = self.soak
  if not self.socket then
    local gateway = self.only and self.only.gateway or soak:pick_gateway()
    if not gateway then return end
    local options = self.rate and {receive_buffer = 16384, max_segment = 1448}
                        or {receive_buffer = 262144}
    if self.only then options = {receive_buffer = 0} end
    local port = gateway.callers
    self.relayed = self.number % 4 == 0
    if self.relayed then port = gateway.relay.port end
    local opened, socket = pcall(connect, port, options)
    if not opened then return end
    self.socket, self.gateway, self.open_ms = socket, gateway, now_ms()
    self.out, self.buffer = paced_output.new(socket), ""
  end
  local request = self:choose()
  request.caller, request.gateway = self, self.gateway
  request.start_ms, request.extra_ms = now_ms(), 0
  request.life = self.gateway.life
  soak:add_request(request)
  local head, dots = soak_callers.bytes(request)
  self.out:add(head)
  self.out:add_dots(dots)
  self.request, self.answer = request, messages.new(true)
  self.answer:feed(self.buffer)
  self.credit, self.halt_until = 0, nil
end

--- Ends the request; text tells how, for failures.
function caller:done(text)
  local request, answer = self.request, self.answer
  request.end_ms = now_ms()
  request.relay_harmed = self.relayed and
                             (request.gateway.relay_harmed_ms or -1) >= self.open_ms
  self.soak:judge(request, answer, text)
  self.request = nil
  self.next_ms = now_ms() + (self.only and math.huge or self.soak.random(20, 400))
  local ends = text ~= "answered" or self.socket.closed or
                   answer.headers["connection"] == "close"
  self.buffer = answer.buffer
  if ends then
    self.socket:close()
    self.socket = nil
  end
end

function caller:read(elapsed_ms)
  local request = self.request
  if self.halt_ms and self.answer.status then
    self.halt_until = self.halt_until or now_ms() + self.halt_ms
    if now_ms() < self.halt_until then
      -- A pause of the caller's own counts neither for nor against the gateway.
      request.extra_ms = request.extra_ms + elapsed_ms
      return
    end
  end
  local limit = 1048576
  if self.rate then
    self.credit = math.min(self.credit + self.rate * elapsed_ms / 1000,
                           self.rate / 2 + 1500)
    limit = math.floor(self.credit)
    if limit < 1 then return end
  end
  local bytes = self.socket:read_some(limit)
  self.credit = self.credit - #bytes
  self.answer:feed(bytes)
end

--- Called in each turn of the soak.
function caller:turn(elapsed_ms, stalled_ms)
  local request = self.request
  if not request then
    if self.socket then
      self.buffer = self.buffer .. self.socket:read_some(65536)
      if self.buffer ~= "" then
        self.soak:fail("MIXED", "bytes on a connection without a request: " ..
                           self.buffer:sub(1, 60), self.gateway)
      end
      if self.socket.closed or self.buffer ~= "" then
        self.socket:close()
        self.socket = nil
      end
    end
    if now_ms() >= self.next_ms then self:send() end
    return
  end
  request.extra_ms = request.extra_ms + stalled_ms
  if not request.sent_ms then
    local limit = self.rate and math.ceil(self.rate * elapsed_ms / 1000)
    self.out:flush(limit)
    if self.out:empty() then request.sent_ms = now_ms() end
  end
  self:read(elapsed_ms)
  if self.answer.complete then return self:done("answered") end
  if self.socket.closed then
    if self.answer.state == "close" then self.answer.until_close = true end
    return self:done(self.socket.reset and "reset" or "closed")
  end
  local limit_ms = request.timeout_ms + kLateMs + request.extra_ms
  if now_ms() - (request.sent_ms or now_ms()) > limit_ms then
    self:done("late")
  end
end
return soak_callers
