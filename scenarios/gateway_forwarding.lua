-- Requests are routed by host and longest path prefix, and forwarded unchanged
-- except for hop-by-hop and reserved headers.
local gateways = require("gateways")
local fleet = gateways.start{}

local answer = fleet:request{method = "POST", path = "/orders/7?x=1",
                             body = "one",
                             headers = {["X-Other"] = "kept",
                                        ["X-Wisteriadale-Tenant-Id"] = "forged",
                                        ["X-Wisteriadale-Expect-Instance"] = "i-0",
                                        ["X-Wisteriadale-Hold"] = "h",
                                        ["Kv-From"] = "1.2.3.4:5/6",
                                        ["X-Wisteriadale-Deadline-Ms"] = "900"}}
expect_equal(200, answer.status, "forwarded: " .. answer.body)
expect_equal("ran one", answer.body, "body of the target's response")
expect(answer.headers["x-wisteriadale-response-signature"],
       "signature of the target")
local run = fleet:runs(answer.id)[1]
expect_equal("/orders/7?x=1", run.path, "path and query")
expect_equal("one", run.body, "body")
expect_equal("kept", run.headers["x-other"], "other headers are kept")
expect_equal("molde", run.headers["x-wisteriadale-tenant-id"], "organisation")
expect_equal(run.target, run.headers["x-wisteriadale-expect-instance"],
             "expected target")
expect_equal(nil, run.headers["x-wisteriadale-key"], "API key is not forwarded")
expect_equal(nil, run.headers["x-wisteriadale-hold"], "reserved header")
expect_equal(nil, run.headers["kv-from"], "reserved header")
local remaining_ms = tonumber(run.headers["x-wisteriadale-deadline-ms"])
expect(remaining_ms > 500 and remaining_ms <= 900,
       "remaining time: " .. remaining_ms)

local chunked = fleet:request{method = "POST", path = "/orders/8",
                              body = "in parts", chunked = true}
expect_equal("ran in parts", chunked.body, "chunked request body")

expect_equal(404, fleet:request{path = "/nowhere/"}.status, "no route")
expect_equal(404, fleet:request{path = "/stock/", host = "other.example"}
                      .status, "no route for the host")
expect_equal(200, fleet:request{path = "/stock/rods/1", host = "SHOP.example:80"}
                      .status, "host with other case and a port")
expect_equal(401, fleet:request{path = "/stock/1", key = "unknown"}.status,
             "unknown key")
expect_equal(401, fleet:request{path = "/stock/1", key = false}.status,
             "missing key")
expect_equal(200, fleet:request{path = "/open/1", key = false}.status,
             "public route without a key")

-- Keep-alive and pipelining.
local socket = connect(fleet.all[1].callers)
local first, second = gateways.new_id(), gateways.new_id()
socket:send(gateways.bytes{path = "/stock/1", id = first} ..
                gateways.bytes{path = "/stock/2", id = second})
wait_until(function()
  return select(2, socket:read():gsub("HTTP/1.1 200", "")) == 2
end, nil, "two responses on one connection")
expect(socket.received:find(first, 1, true) <
           socket.received:find(second, 1, true), "in the order of the requests")
socket:close()

fleet:stop()
