-- Requests that become complete late in the grace period of a planned stop. What
-- can still be answered whole is answered; the others are turned away at once,
-- and reach no target: neither those that may be repeated nor the others.
local gateways = require("gateways")
local kGraceS = 5
local kWorkMs = 1500
local kStepMs = 500
local kHeadStartMs = 200
local fleet = gateways.start{settings = {["/stop/grace_s"] = kGraceS}}
local gateway = fleet.all[1]
-- Time enough for requests that arrive slowly.
fleet:configure(gateways.document(11, function(document)
  document.limits["header-timeout-ms"] = 20000
  for _, route in ipairs(document.routes) do route["timeout-ms"] = 20000 end
end))
runner.pump(1000)
fleet:set_behaviour{service = "plain", work_ms = kWorkMs}
fleet:set_behaviour{service = "engine", events = 30,
                    event_ms = kWorkMs // 30}

local kinds = {
  look = {path = "/stock/1"},
  book = {method = "POST", path = "/orders/1", body = "x"},
  note = {method = "POST", path = "/notes/1", body = "x",
          headers = {Accept = "text/event-stream"}},
  draft = {method = "POST", path = "/drafts/1", body = "x",
           headers = {Accept = "text/event-stream",
                      ["X-Wisteriadale-Pieces"] = "2,2",
                      ["X-Wisteriadale-Piece-Key"] = "ab"}}}

-- The gateway learns how long each route takes.
for _, kind in pairs(kinds) do
  local copy = {}
  for field, value in pairs(kind) do copy[field] = value end
  expect_equal(200, fleet:request(copy).status, "before the stop")
end

-- Of each kind one request for each step of the grace period. Its last bytes
-- follow at its time, so that its connection is open and not idle until then.
local calls = {}
for at = kStepMs, (kGraceS - 1) * 1000, kStepMs do
  for name, kind in pairs(kinds) do
    local call = {kind = name, at = at, id = gateways.new_id(),
                  socket = connect(gateway.callers)}
    local options = {id = call.id}
    for field, value in pairs(kind) do options[field] = value end
    call.bytes = gateways.bytes(options)
    calls[#calls + 1] = call
  end
end
for _, call in ipairs(calls) do call.socket:send(call.bytes:sub(1, 20)) end
runner.pump(kHeadStartMs)
gateway.process:stop()
local stopped_at = now_ms()
table.sort(calls, function(left, right) return left.at < right.at end)
for _, call in ipairs(calls) do
  while now_ms() - stopped_at < call.at do runner.pump(10) end
  call.socket:send(call.bytes:sub(21))
  call.sent_ms = now_ms() - stopped_at
end
expect_equal(0, gateway.process:wait(kGraceS * 1000), "clean exit")

local served, refused = 0, 0
for _, call in ipairs(calls) do
  local answer = gateways.parse(call.socket:read())
  local text = call.kind .. " sent " .. call.sent_ms .. " ms into the stop"
  expect(answer ~= nil and answer.complete, text .. " has a whole answer")
  local runs = #fleet:own_runs(call.id)
  if answer.status == 503 then
    refused = refused + 1
    expect_equal(0, runs, text .. " did not run")
    expect(tonumber(answer.headers["retry-after"]) ~= nil,
           text .. ": time to return")
  else
    served = served + 1
    expect_equal(200, answer.status, text)
    expect_equal(1, runs, text .. " ran once")
  end
  if call.at <= kGraceS * 1000 - 3 * kWorkMs then
    expect_equal(200, answer.status, text .. " is early enough")
  end
end
expect(served > 0 and refused > 0,
       "served " .. served .. ", turned away " .. refused)

fleet:stop()
