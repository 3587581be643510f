-- What cannot be read safely is refused with a clear status, reaches no target
-- and harms no other request.
local gateways = require("gateways")
local fleet = gateways.start{}

local function refused(status, bytes, text)
  local answer = fleet:send(bytes)
  expect_equal(status, answer.status, text)
  return answer
end
local head = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n" ..
                 "X-Wisteriadale-Key: " .. gateways.key .. "\r\n" ..
                 "X-Wisteriadale-Request-Id: smuggled\r\n"
local hidden = "POST /orders/2 HTTP/1.1\r\nHost: shop.example\r\n" ..
                   "X-Wisteriadale-Request-Id: smuggled\r\n\r\n"

refused(400, head .. "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" ..
            "0\r\n\r\n" .. hidden, "both framings")
refused(400, head .. "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" ..
            hidden, "two lengths")
refused(400, head .. "Transfer-Encoding: gzip\r\n\r\n" .. hidden, "a coding")
refused(400, head .. "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" ..
            hidden, "two codings")
refused(400, head .. "Content-Length: 0\r\nX-A: b\r\n c: d\r\n\r\n" .. hidden,
        "a folded header")
refused(400, head .. "Content-Length : 4\r\n\r\nabcd" .. hidden,
        "a space before the colon")
refused(400, "POST /orders/1 HTTP/1.1\r\nX-A: b\r\n\r\n", "no host")
refused(400, "POST /orders/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "hosts")
refused(400, "nonsense\r\n\r\n", "no HTTP")
refused(431, head .. "X-Long: " .. ("x"):rep(8000) .. "\r\n\r\n", "long head")
refused(413, head .. "Content-Length: 30000\r\n\r\n" .. ("x"):rep(30000),
        "long body")

-- A request that stops in the middle ends by the operator's bound.
local slow = connect(fleet.all[1].callers)
slow:send("GET /stock/1 HTTP/1.1\r\nHost: ")
slow:wait_closed(4000)
expect(slow.received:find("408", 1, true), "a slow request: " .. slow.received)

expect_equal(0, #fleet:runs("smuggled"), "nothing reached a target")
expect_equal(400, fleet:ask{path = "/drafts/1", method = "POST", body = "x"}
                      .status, "stages without their pieces")
expect_equal(200, fleet:ask{path = "/stock/1"}.status, "and it serves on")

fleet:stop()
