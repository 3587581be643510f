-- Targets and callers that send a part of a message without end neither end a
-- gateway, nor fill its memory, nor delay the requests of others.
local gateways = require("gateways")
local fleet = gateways.start{broken = true}
local gateway = fleet.all[1]
local kMaxResidentKb = 64 * 1024
local kRequests, kRounds, kPieceBytes = 8, 40, 64 * 1024

fleet:use_only{"plain-1", "plain-2", "engine-broken"}

local parts = {
  {name = "chunk size", begin = "", endless = "0"},
  {name = "chunk extension", begin = "5;a=", endless = "x"},
  {name = "extension of the last chunk", begin = "0;a=", endless = "x"},
  {name = "extensions of short chunks", begin = "",
   endless = "1;a=" .. ("x"):rep(2000) .. "\r\ny\r\n"},
  {name = "trailer line", begin = "0\r\nX: ", endless = "x"},
  {name = "trailer lines", begin = "0\r\n", endless = "X: y\r\n"}}

local function check(name)
  expect(gateway.process:running(), name .. ": the gateway runs")
  local kb = gateway.process:resident_kb()
  expect(kb < kMaxResidentKb, name .. ": " .. kb .. " KB resident")
end

--- Sends requests at once, and expects that each is answered.
local function answers_all(name)
  local sockets = {}
  for number = 1, kRequests do
    sockets[number] = connect(gateway.callers)
    sockets[number]:send(gateways.bytes{path = "/stock/1"})
  end
  for _, socket in ipairs(sockets) do
    local answer
    wait_until(function()
      check(name)
      answer = gateways.parse(socket:read())
      return (answer and answer.complete) or socket.closed
    end, 5000, name .. ": a response")
    expect_equal(200, answer and answer.status, name)
    socket:close()
  end
end

--- Sends requests to the target whose responses have no end, and others.
local function target_sends(name, options)
  options.id = "engine-broken"
  fleet:set_break(options)
  local sockets = {}
  for number = 1, 4 do
    sockets[number] = connect(gateway.callers)
    sockets[number]:send(gateways.bytes{method = "POST", path = "/notes/1",
                                        body = "x"})
  end
  answers_all(name)
  for _, socket in ipairs(sockets) do
    wait_until(function()
      check(name)
      local answer = gateways.parse(socket:read())
      return (answer and answer.complete) or socket.closed
    end, 5000, name .. ": the end of a response")
    socket:close()
  end
end

for _, part in ipairs(parts) do
  target_sends("target, " .. part.name, {framing = "chunks", begin = part.begin,
                                         endless = part.endless})
end
target_sends("target, behind a response", {framing = "length", endless = "x"})
target_sends("target, interim responses",
             {framing = "length", status = 100,
              endless = "HTTP/1.1 100 Continue\r\n\r\n"})
target_sends("target, body", {framing = "close", endless = "x"})
fleet:set_break{id = "engine-broken"}

local chunked = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n" ..
                    "X-Wisteriadale-Key: unknown\r\n" ..
                    "Transfer-Encoding: chunked\r\n\r\n"
parts[#parts + 1] = {name = "request line", begin = "GET /", endless = "x",
                     unframed = true}
parts[#parts + 1] = {name = "headers", begin = "GET / HTTP/1.1\r\n",
                     endless = "X: y\r\n", unframed = true}
for _, port in ipairs{gateway.callers, gateway.operators} do
  for _, part in ipairs(parts) do
    local name = (port == gateway.callers and "caller, " or "operator, ") ..
                     part.name
    local piece = part.endless:rep(kPieceBytes // #part.endless)
    local sockets = {}
    for number = 1, 2 do
      sockets[number] = connect(port)
      sockets[number]:send((part.unframed and "" or chunked) .. part.begin)
    end
    for round = 1, kRounds do
      for _, socket in ipairs(sockets) do
        -- Fails once the gateway has closed the connection.
        socket:send(piece)
      end
      check(name)
    end
    for _, socket in ipairs(sockets) do
      local status = socket:read():match("^HTTP/1.1 (%d+)")
      expect(not status or status:match("^4"), name .. ": " ..
                 tostring(status))
      socket:close()
    end
    answers_all(name)
  end
end

local reported = {}
for _, line in ipairs(fleet:log_lines(gateway)) do
  if line.event == "message_too_large" then
    expect(line.bytes >= line.allowed, "bytes of " .. line.part)
    reported[line.message .. " " .. line.part] = true
  end
end
for _, kind in ipairs{"request", "response"} do
  for _, part in ipairs{"chunk_header", "trailer"} do
    expect(reported[kind .. " " .. part], "logged: " .. kind .. " " .. part)
  end
end
expect(reported["request start_line"], "logged: start line")
expect(reported["request headers"], "logged: headers")

fleet:stop()
