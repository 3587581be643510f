-- Idempotent requests are retried at another target. Non-idempotent ones never
-- run twice, and are reported as not run only if a target said so.
local gateways = require("gateways")
local fleet = gateways.start{}

local function first_target(behaviour)
  fleet:set_behaviour{service = "plain"}
  behaviour.id = "plain-1"
  fleet:set_behaviour(behaviour)
end
local function all_targets(behaviour)
  behaviour.service = "plain"
  fleet:set_behaviour(behaviour)
end
local function place_order()
  return fleet:request{method = "POST", path = "/orders/1", body = "order"}
end
local function query_stock()
  return fleet:request{path = "/stock/1"}
end

-- Requests that a target sheds are retried at another target.
first_target{how = "shed"}
for _ = 1, 6 do
  expect_equal(200, place_order().status, "retried at the other target")
end
all_targets{how = "shed"}
local refused = place_order()
expect_equal(503, refused.status, "all targets shed")
expect(tonumber(refused.headers["retry-after"]) > 0, "Retry-After")
expect_equal(0, #fleet:own_runs(refused.id), "not run")

-- A non-idempotent request whose connection was lost may have run: it is
-- neither retried nor reported as not run.
all_targets{how = "lose"}
local lost = place_order()
expect_equal(502, lost.status, "lost connection")
expect_equal(1, #fleet:own_runs(lost.id), "ran once")
all_targets{how = "unsigned"}
local unsigned = place_order()
expect_equal(502, unsigned.status, "unsigned response")
expect_equal(1, #fleet:own_runs(unsigned.id), "ran once")
-- The same for responses too large to be buffered until they are complete.
local kLarge = 2000000
all_targets{how = "unsigned", padding = kLarge}
local large = place_order()
expect_equal(502, large.status, "large unsigned response")
all_targets{padding = kLarge}
large = place_order()
expect_equal(200, large.status, "large response")
expect(large.complete, "large response is complete")
expect_equal(#"ran order" + kLarge, #large.body, "with all of its bytes")
all_targets{how = "fail", padding = kLarge}
large = place_order()
expect_equal(500, large.status, "large failure of the target is forwarded")
expect_equal(#"broken" + kLarge, #large.body, "with all of its bytes")
fleet:set_behaviour{service = "engine", how = "fail", padding = kLarge}
large = fleet:request{method = "POST", path = "/notes/1", body = "x"}
expect_equal(500, large.status, "also on a streaming route")
expect_equal(#"broken" + kLarge, #large.body, "with all of its bytes")
all_targets{how = "fail"}
local failed = place_order()
expect_equal(500, failed.status, "failure of the target is forwarded")
expect_equal("broken", failed.body, "with its body")
expect_equal(1, #fleet:own_runs(failed.id), "ran once")

-- An idempotent request is tried at as many targets as its route allows.
local queried = query_stock()
expect_equal(500, queried.status, "both targets fail")
expect_equal(2, #fleet:own_runs(queried.id), "two targets were tried")
first_target{how = "fail"}
for _ = 1, 6 do
  expect_equal(200, query_stock().status, "retried after a failure")
end
first_target{how = "lose"}
for _ = 1, 6 do
  expect_equal(200, query_stock().status, "retried after a lost connection")
end

-- The response to another request is never forwarded.
all_targets{how = "foreign", work_ms = 1}
local bytes = gateways.bytes{path = "/stock/1"}
local socket = connect(fleet.all[1].callers)
socket:send(bytes)
expect_for(300, function() return not socket:read():find("200", 1, true) end,
           "another request's response is discarded")
socket:close()

-- A target that does not respond: the request ends at the route's timeout.
all_targets{how = "mute"}
local started_ms = now_ms()
local unanswered = place_order()
expect_equal(504, unanswered.status, "timed out")
expect(now_ms() - started_ms < 3400, "at the route's timeout")
expect_equal(1, #fleet:own_runs(unanswered.id), "ran once")

fleet:stop()
