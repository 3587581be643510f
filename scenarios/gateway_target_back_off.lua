-- A target that rejects requests and names a time gets none from that gateway
-- until then; the others serve them, or callers are told when to come back.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 3}
local kBackOffMs, kSlackMs, kAllowed = 2500, 500, 2

--- Returns the times of the rejected calls of a target, by gateway.
local function rejected(sent, id)
  local gateway_of = {}
  for _, each in ipairs(sent) do gateway_of[each.id] = each.gateway.name end
  local times = {}
  for _, run in ipairs(fleet:control("rejected").json.runs) do
    local gateway = gateway_of[run.request_id]
    if run.target == id and gateway then
      times[gateway] = times[gateway] or {}
      table.insert(times[gateway], run.at_ms)
    end
  end
  return times
end

fleet:set_behaviour{id = "plain-1", how = "shed",
                    headers = {"Retry-After", tostring(kBackOffMs / 1000)}}
local sent = limits.load(fleet, {
  gap_ms = 20, time_ms = 6000,
  request = function() return {path = "/stock/1"} end})
expect_equal(#sent, limits.count_status(sent, 200), "served by the other target")
local checked = 0
for gateway, times in pairs(rejected(sent, "plain-1")) do
  for _, from_ms in ipairs(times) do
    local count = 0
    for _, at_ms in ipairs(times) do
      if at_ms > from_ms + kSlackMs and at_ms < from_ms + kBackOffMs then
        count = count + 1
      end
    end
    expect(count <= kAllowed, gateway .. " sent " .. count ..
           " requests in the time, allowed " .. kAllowed)
    checked = checked + 1
  end
end
expect(checked >= 3, "rejections that were checked: " .. checked)

-- Both targets back off: callers are told at once when one returns.
fleet:set_behaviour{service = "plain", how = "shed",
                    headers = {"Retry-After", "1.5"}}
runner.pump(kBackOffMs)
fleet:request{path = "/stock/1"}
local start_ms = now_ms()
local answer = fleet:request{path = "/stock/1"}
expect_equal(503, answer.status, "all targets back off")
expect(now_ms() - start_ms < 200, "took " .. now_ms() - start_ms .. " ms")
local retry_s = tonumber(answer.headers["retry-after"])
expect(retry_s and retry_s > 0.5 and retry_s <= 3,
       "time to come back: " .. tostring(retry_s))
fleet:set_behaviour{service = "plain"}
wait_until(function()
  return fleet:request{path = "/stock/1"}.status == 200
end, 2500, "the targets get work again")

-- What cannot be used is ignored, and ends nothing.
for _, value in ipairs{"-1", "soon", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT",
                       ("9"):rep(400), "nan"} do
  fleet:set_behaviour{service = "plain", how = "shed",
                      headers = {"Retry-After", value}}
  fleet:request{path = "/stock/1"}
end
fleet:set_behaviour{service = "plain"}
for _, gateway in ipairs(fleet.all) do
  expect(gateway.process:running(), gateway.name .. " is running")
  wait_until(function()
    return fleet:request{path = "/stock/1", gateway = gateway}.status == 200
  end, 1500, "no target backs off for long")
end
expect(gateways.event(fleet:log_lines(fleet.all[1]), "statement_invalid"),
       "a log line of what could not be used")

fleet:stop()
