-- Callers of a soak that do not read, leave, stay idle or send without end.
-- Nothing is promised to them; other callers must be served beside them.

local gateways = require("gateways")
local messages = require("http_messages")
local paced_output = require("paced_output")
local soak_callers = require("soak_callers")

local soak_odd_callers = {}
local kLimitMs = 15000

local function request(soak, path, more)
  local made = {id = string.format("%016x", soak.next_number()), method = "GET",
                headers = {}, body_bytes = 0, path = path, odd = true,
                start_ms = now_ms()}
  for field, value in pairs(more or {}) do made[field] = value end
  soak:add_request(made)
  return made
end

--- Kinds that send an endless part: what precedes it, and the part.
local kPost = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
local kEndless = {
  chunk_extension = {"Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
  chunk_zeros = {"Transfer-Encoding: chunked\r\n\r\n0", "0"},
  trailer = {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
  body_of_chunks = {"Transfer-Encoding: chunked\r\n\r\n", "5\r\n.....\r\n"},
  body_of_length = {"Content-Length: 99999999999\r\n\r\n", "."},
  header_line = {"A: ", "b"},
  header_lines = {"", "A: b\r\n"}}

local function open(soak, options)
  local gateway = soak:pick_gateway()
  if not gateway then return nil end
  local ports = {gateway.callers, gateway.callers, gateway.callers,
                 gateway.callers, gateway.operators, gateway.links}
  local opened, socket = pcall(connect, ports[soak.random(#ports)], options)
  if not opened then return nil end
  return {socket = socket, out = paced_output.new(socket), gateway = gateway,
          end_ms = now_ms() + kLimitMs}
end

local kinds = {}
local function add_endless(name, part)
  kinds[#kinds + 1] = {name, function(soak)
    for _ = 1, soak.random(1, 4) do
      local peer = soak_odd_callers.add(soak, open(soak))
      if not peer then return end
      local made = request(soak, "/orders/1")
      peer.out:add(kPost .. "X-Wisteriadale-Request-Id: " .. made.id .. "\r\n" ..
                       "X-Wisteriadale-Key: " ..
                       (soak.random(2) == 1 and gateways.key or "unknown") ..
                       "\r\n" .. part[1])
      peer.out:add_endless(part[2])
    end
  end}
end
local names = {}
for name in pairs(kEndless) do names[#names + 1] = name end
table.sort(names)
for _, name in ipairs(names) do add_endless(name, kEndless[name]) end

local function add_kind(name, run) kinds[#kinds + 1] = {name, run} end
add_kind("request_line", function(soak)
  local peer = soak_odd_callers.add(soak, open(soak))
  if not peer then return end
  peer.out:add("GET /")
  peer.out:add_endless("a")
end)
add_kind("blank_lines", function(soak)
  local peer = soak_odd_callers.add(soak, open(soak))
  if peer then peer.out:add_endless("\r\n") end
end)
add_kind("requests_unread", function(soak)
  local peer = soak_odd_callers.add(soak, open(soak))
  if not peer then return end
  local made = request(soak, "/nowhere/")
  peer.out:add_endless((soak_callers.bytes(made)))
end)
add_kind("never_reads", function(soak)
  for _ = 1, soak.random(1, 20) do
    local peer = soak_odd_callers.add(soak, open(soak))
    if not peer then return end
    peer.out:add((soak_callers.bytes(
        request(soak, "/sheets/1?bytes=" .. soak.random(100000, 16777216)))))
  end
end)
add_kind("idle", function(soak)
  for _ = 1, soak.random(50, 400) do
    local peer = soak_odd_callers.add(soak, open(soak))
    if not peer then return end
  end
end)
add_kind("half_close", function(soak)
  local peer = soak_odd_callers.add(soak, open(soak, {receive_buffer = 65536}))
  if not peer then return end
  peer.out:add((soak_callers.bytes(request(soak, "/sheets/1?bytes=300000"))))
  peer.out:flush()
  peer.socket:shutdown()
  peer.reads = true
end)
add_kind("leaves", function(soak)
  for _ = 1, 10 do
    local peer = soak_odd_callers.add(soak, open(soak, {receive_buffer = 65536}))
    if not peer then return end
    peer.out:add((soak_callers.bytes(
        request(soak, "/sheets/1?bytes=" .. soak.random(0, 2000000)))))
    peer.end_ms, peer.resets = now_ms() + soak.random(0, 300), soak.random(2) == 1
  end
end)
add_kind("pipelines", function(soak)
  local peer = soak_odd_callers.add(soak, open(soak, {receive_buffer = 65536}))
  if not peer then return end
  peer.waiting, peer.answer = {}, messages.new(true)
  for number = 1, 30 do
    local made = request(soak, "/stock/1?bytes=" .. soak.random(0, 3000))
    peer.out:add((soak_callers.bytes(made)))
    peer.waiting[number] = made
  end
end)
add_kind("slow_head", function(soak)
  for _ = 1, 20 do
    local peer = soak_odd_callers.add(soak, open(soak))
    if not peer then return end
    peer.out:add(kPost .. "A: b\r\n" .. kPost)
    peer.rate = 20
  end
end)
soak_odd_callers.kinds = kinds

--- Adds a peer, unless it is nil, and returns it.
function soak_odd_callers.add(soak, peer)
  if peer then soak.peers[#soak.peers + 1] = peer end
  return peer
end

--- Responses to pipelined requests come whole and in order.
local function check_pipeline(soak, peer)
  peer.answer:feed(peer.socket:read_some(1048576))
  while peer.answer.complete do
    local expected = table.remove(peer.waiting, 1)
    local id = peer.answer.headers["x-wisteriadale-request-id"]
    if not expected or (id and id ~= expected.id) then
      soak:fail("MIXED", "answer " .. tostring(id) .. " to pipelined request " ..
                    tostring(expected and expected.id), peer.gateway)
      expected = nil
    end
    if not expected then
      peer.end_ms = 0
      return
    end
    local rest = peer.answer.buffer
    peer.answer = messages.new(true)
    peer.answer:feed(rest)
  end
end

--- Serves the peers; called in each turn of the soak.
function soak_odd_callers.turn(soak, elapsed_ms)
  local kept = {}
  for _, peer in ipairs(soak.peers) do
    local limit = 262144
    if peer.rate then
      peer.credit = (peer.credit or 0) + peer.rate * elapsed_ms / 1000
      limit = math.floor(peer.credit)
      peer.credit = peer.credit - limit
    end
    local open_still = peer.out:flush(limit)
    if peer.reads then peer.socket:read_some(1048576) end
    if peer.waiting then check_pipeline(soak, peer) end
    if open_still and now_ms() < peer.end_ms and not peer.socket.closed then
      kept[#kept + 1] = peer
    elseif peer.resets then
      peer.socket:abort()
    else
      peer.socket:close()
    end
  end
  soak.peers = kept
end

return soak_odd_callers
