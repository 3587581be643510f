-- Requests go by host and longest prefix to a target of their route, unchanged
-- but for the headers that belong to one connection or to the system.
local gateways = require("gateways")
local fleet = gateways.start{}

local answer = fleet:ask{method = "POST", path = "/orders/7?x=1", body = "one",
                         headers = {["X-Other"] = "kept",
                                    ["X-Wisteriadale-Tenant-Id"] = "forged",
                                    ["X-Wisteriadale-Expect-Instance"] = "i-0",
                                    ["X-Wisteriadale-Hold"] = "h",
                                    ["Kv-From"] = "1.2.3.4:5/6",
                                    ["X-Wisteriadale-Deadline-Ms"] = "900"}}
expect_equal(200, answer.status, "a booking: " .. answer.body)
expect_equal("ran one", answer.body, "the target's body")
expect(answer.headers["x-wisteriadale-response-signature"], "the receipt")
local run = fleet:runs(answer.id)[1]
expect_equal("/orders/7?x=1", run.path, "path and query")
expect_equal("one", run.body, "body")
expect_equal("kept", run.headers["x-other"], "another header")
expect_equal("molde", run.headers["x-wisteriadale-tenant-id"], "organisation")
expect_equal(run.target, run.headers["x-wisteriadale-expect-instance"],
             "expected target")
expect_equal(nil, run.headers["x-wisteriadale-key"], "the key stays here")
expect_equal(nil, run.headers["x-wisteriadale-hold"], "a reserved header")
expect_equal(nil, run.headers["kv-from"], "a reserved header")
local left = tonumber(run.headers["x-wisteriadale-deadline-ms"])
expect(left > 500 and left <= 900, "the time that is left: " .. left)

local chunked = fleet:ask{method = "POST", path = "/orders/8", body = "in parts",
                          chunked = true}
expect_equal("ran in parts", chunked.body, "a body in chunks")

expect_equal(404, fleet:ask{path = "/nowhere/"}.status, "no route")
expect_equal(404, fleet:ask{path = "/stock/", host = "other.example"}.status,
             "no host")
expect_equal(200, fleet:ask{path = "/stock/rods/1", host = "SHOP.example:80"}
                      .status, "a host in another case, with a port")
expect_equal(401, fleet:ask{path = "/stock/1", key = "unknown"}.status, "key")
expect_equal(401, fleet:ask{path = "/stock/1", key = false}.status, "no key")
expect_equal(200, fleet:ask{path = "/open/1", key = false}.status, "public")

-- One connection carries many requests, also ones sent together.
local socket = connect(fleet.all[1].callers)
local first, second = gateways.new_id(), gateways.new_id()
socket:send(gateways.bytes{path = "/stock/1", id = first} ..
                gateways.bytes{path = "/stock/2", id = second})
wait_until(function()
  return select(2, socket:read():gsub("HTTP/1.1 200", "")) == 2
end, nil, "two answers on one connection")
expect(socket.received:find(first, 1, true) <
           socket.received:find(second, 1, true), "in their order")
socket:close()

fleet:stop()
