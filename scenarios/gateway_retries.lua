-- What may run again is sent to another target; what may not never runs twice,
-- and is called "not run" only when a target said so.
local gateways = require("gateways")
local fleet = gateways.start{}

local function one(behaviour)
  fleet:behave{service = "plain"}
  behaviour.id = "plain-1"
  fleet:behave(behaviour)
end
local function both(behaviour)
  behaviour.service = "plain"
  fleet:behave(behaviour)
end
local function book() return fleet:ask{method = "POST", path = "/orders/1",
                                       body = "order"} end
local function look() return fleet:ask{path = "/stock/1"} end

-- Refusals reach another target.
one{how = "shed"}
for _ = 1, 6 do
  expect_equal(200, book().status, "a booking beside a target that refuses")
end
both{how = "shed"}
local refused = book()
expect_equal(503, refused.status, "all refuse")
expect(tonumber(refused.headers["retry-after"]) > 0, "when to come back")
expect_equal(0, #fleet:own_runs(refused.id), "it has not run")

-- A lost booking may have run: it is not sent again and not called "not run".
both{how = "lose"}
local lost = book()
expect_equal(502, lost.status, "a lost booking")
expect_equal(1, #fleet:own_runs(lost.id), "it ran once")
both{how = "unsigned"}
local unsigned = book()
expect_equal(502, unsigned.status, "an answer without a receipt")
expect_equal(1, #fleet:own_runs(unsigned.id), "it ran once")
-- Also where the answer is too large to be held until it is complete.
local kLarge = 2000000
both{how = "unsigned", padding = kLarge}
local large = book()
expect_equal(502, large.status, "a large answer without a receipt")
both{padding = kLarge}
large = book()
expect_equal(200, large.status, "a large answer")
expect(large.complete, "whole")
expect_equal(#"ran order" + kLarge, #large.body, "with all of its bytes")
both{how = "fail", padding = kLarge}
large = book()
expect_equal(500, large.status, "a large failure is the target's own")
expect_equal(#"broken" + kLarge, #large.body, "with all of its bytes")
fleet:behave{service = "engine", how = "fail", padding = kLarge}
large = fleet:ask{method = "POST", path = "/notes/1", body = "x"}
expect_equal(500, large.status, "so is one of a stream's target")
expect_equal(#"broken" + kLarge, #large.body, "with all of its bytes")
both{how = "fail"}
local failed = book()
expect_equal(500, failed.status, "the target's own failure is passed on")
expect_equal("broken", failed.body, "with its body")
expect_equal(1, #fleet:own_runs(failed.id), "it ran once")

-- An idempotent request is sent to as many targets as its route allows.
local looked = look()
expect_equal(500, looked.status, "both fail")
expect_equal(2, #fleet:own_runs(looked.id), "two targets were asked")
one{how = "fail"}
for _ = 1, 6 do expect_equal(200, look().status, "a look beside a failure") end
one{how = "lose"}
for _ = 1, 6 do expect_equal(200, look().status, "a look beside a loss") end

-- Another request's answer is never passed on.
both{how = "foreign", work_ms = 1}
local bytes = gateways.bytes{path = "/stock/1"}
local socket = connect(fleet.all[1].callers)
socket:send(bytes)
expect_for(300, function() return not socket:read():find("200", 1, true) end,
           "no answer out of another's")
socket:close()

-- A mute target holds a booking to the route's bound and no longer.
both{how = "mute"}
local began = now_ms()
local mute = book()
expect_equal(504, mute.status, "no answer in time")
expect(now_ms() - began < 3400, "at the route's bound")
expect_equal(1, #fleet:own_runs(mute.id), "it ran once")

fleet:stop()
