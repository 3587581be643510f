-- Idle callers that take every connection they can get keep a gateway neither
-- from serving requests, for which it has to connect to targets, nor from
-- answering its operators.
local gateways = require("gateways")
local kIdle = 400
local kKept = 20
local kIdleMs = 1200
local fleet = gateways.start{
  settings = {["/net/max_connections"] = 200,
              ["/net/reserved_descriptors"] = 20}}
local gateway = fleet.all[1]

local kept = {}
for number = 1, kKept do kept[number] = connect(gateway.callers) end

--- Sends a request on each open connection, and expects its response.
local function use_kept(round)
  for number, connection in ipairs(kept) do
    connection.received = ""
    connection:send(gateways.bytes{path = "/stock/" .. number .. round})
  end
  for _, connection in ipairs(kept) do
    local answer
    wait_until(function()
      answer = gateways.parse(connection:read())
      return answer and answer.complete
    end, 3000, "a response on an open connection, round " .. round)
    expect_equal(200, answer.status, "status in round " .. round)
  end
end

local function expect_operators()
  for _, path in ipairs{"/readyz", "/healthz", "/metrics"} do
    local call = http_async{port = gateway.operators, path = path,
                            timeout_ms = 1000}
    expect_equal(200, call:wait().status, path .. " beside idle callers")
  end
end

use_kept(0)
local idle = {}
for number = 1, kIdle do
  idle[number] = connect(gateway.callers)
  if number % 50 == 0 then use_kept(number) end
end
-- More requests at once than there are connections to targets.
fleet:set_behaviour{service = "plain", work_ms = 100}
for round = 1, 5 do
  use_kept("x" .. round)
  expect_operators()
end
expect_for(kIdleMs, function()
  use_kept("y")
  return true
end)
-- A new caller takes the place of an idle one.
expect_equal(200, fleet:request{path = "/stock/1"}.status, "a new caller")
local metrics = http{port = gateway.operators, path = "/metrics"}.body
local rejected = metrics:match("wisteria_connections_rejected_total (%d+)")
expect(tonumber(rejected or 0) > 0, "idle callers were rejected")
expect(metrics:find("wisteria_connections_replaced_total", 1, true),
       "an idle caller was replaced")
expect(gateway.process:running(), "the gateway runs")

-- Settings that leave no connections are refused.
local settings = {}
for pointer, value in pairs(gateway.settings) do settings[pointer] = value end
settings["/name"] = "without-connections"
settings["/net/reserved_descriptors"] = 190
expect_equal(1, start("wisteria-gateway", settings):wait(3000),
             "exit code without connections")
fleet:stop()
