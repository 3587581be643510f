-- Without routes a gateway responds with 503; a graceful stop interrupts no
-- request; a process that cannot listen exits with an error code.
local gateways = require("gateways")
local fleet = gateways.start{without_routes = true}
local gateway = fleet.all[1]

fleet:wait_for_status(gateway.operators, "/healthz", 200)
expect_equal(503, http{port = gateway.operators, path = "/readyz"}.status,
             "not ready without routes")
expect_equal(503, fleet:request{path = "/stock/1", key = "any"}.status,
             "503 without routes, neither 401 nor 404")
fleet:configure(gateways.document(1))
fleet:wait_for_status(gateway.operators, "/readyz", 200)

-- Reloading the settings, also invalid ones, interrupts no request.
gateway.process:reload()
expect_equal(200, fleet:request{path = "/stock/1"}.status, "after a reload")

-- A second gateway on the same port exits with an error.
local other = start("wisteria-gateway", gateway.settings)
expect_equal(1, other:wait(3000), "port already in use")

-- During a graceful stop a running stream is completed; new requests are still
-- served, and their connections closed.
fleet:set_behaviour{service = "engine", events = 40, event_ms = 20}
local stream = connect(gateway.callers)
stream:send(gateways.bytes{method = "POST", path = "/notes/1", body = "x",
                           headers = {Accept = "text/event-stream"}})
stream:wait_for("part1", 3000)
local kept = connect(gateway.callers)
kept:send(gateways.bytes{path = "/stock/1"})
kept:wait_for("ran", 3000)
gateway.process:stop()
wait_until(function()
  return http{port = gateway.operators, path = "/readyz"}.status == 503
end, 1000, "not ready as soon as the stop begins")
local answer = fleet:request{path = "/stock/2"}
expect_equal(200, answer.status, "new connection during the stop")
expect_equal("close", answer.headers["connection"], "Connection: close")
kept:send(gateways.bytes{path = "/stock/3"})
kept:wait_for("Connection: close", 3000)
wait_until(function()
  local read = gateways.parse(stream:read())
  return read and read.complete
end, 3000, "the stream is completed")
expect_equal(0, gateway.process:wait(9000), "clean exit")

fleet:stop()
