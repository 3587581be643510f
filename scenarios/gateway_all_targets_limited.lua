-- When all targets of a service name a limit, each gets no more than it takes;
-- the rest is rejected at once, with the time after which to return.
local gateways = require("gateways")
local limits = require("request_limits")
local fleet = gateways.start{count = 3}
local kLimit = 2

fleet:set_behaviour{service = "plain", limits = {tostring(kLimit)}}
local sent = limits.load(fleet, {
  gap_ms = 40, time_ms = 10000,
  request = function(number)
    if number % 2 == 0 then return {path = "/stock/1"} end
    return {method = "POST", path = "/orders/1", body = "order"}
  end})
limits.expect_bound(fleet, "plain-1", kLimit)
limits.expect_bound(fleet, "plain-2", kLimit)
local served = limits.count_status(sent, 200)
local rejected = limits.count_status(sent, 503)
expect_equal(#sent, served + rejected, "served or rejected")
-- Two targets, 2 requests a second each, for 10 s.
expect(served >= 20, "the targets serve what they take, served " .. served)
for _, each in ipairs(sent) do
  if each.status == 503 then
    expect(each.took_ms < 1500, "rejected after " .. each.took_ms .. " ms")
    expect(tonumber(each.headers["retry-after"]) > 0, "Retry-After")
    expect_equal(0, #fleet:own_runs(each.id), "runs of a rejected request")
  else
    expect_equal(1, #fleet:own_runs(each.id), "runs of a served request")
  end
end

fleet:stop()
