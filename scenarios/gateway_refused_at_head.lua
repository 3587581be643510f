-- A request that its head shows cannot be served is refused before its body
-- arrives, so that nothing is held for it.
local gateways = require("gateways")
local fleet = gateways.start{without_routes = true}
fleet:configure(gateways.document(10, function(document)
  document.limits["header-timeout-ms"] = 20000
end))
fleet:wait_for_status(fleet.all[1].operators, "/readyz", 200)

--- Sends a head that announces a body, and expects a response without sending
--- the body.
local function expect_refused(status, options, text)
  options.method = "POST"
  options.headers = options.headers or {["Content-Length"] = 10000}
  local socket = connect(fleet.all[1].callers)
  socket:send(gateways.bytes(options))
  local answer
  wait_until(function()
    answer = gateways.parse(socket:read())
    return answer and answer.complete
  end, 5000, text)
  expect_equal(status, answer.status, text)
  socket:wait_closed(5000)
  socket:close()
end

expect_refused(401, {path = "/stock/1", key = "unknown"}, "an unknown key")
expect_refused(401, {path = "/stock/1", key = false}, "no key")
expect_refused(404, {path = "/nowhere"}, "no route")
expect_refused(413, {path = "/stock/1", headers = {["Content-Length"] = 20001}},
               "a body over the limit")
expect_refused(401, {path = "/stock/1", key = "unknown",
                     headers = {["Transfer-Encoding"] = "chunked"}},
               "an unknown key, and chunks")
expect_refused(401, {path = "/stock/1", key = "unknown",
                     headers = {["Content-Length"] = 10000,
                                Expect = "100-continue"}},
               "an unknown key of a caller that waits to send its body")
expect_equal(0, #fleet:runs(), "requests that ran")
expect_equal(200, fleet:request{method = "POST", path = "/stock/1",
                                body = ("y"):rep(20000)}.status,
             "a legal request")
fleet:stop()
