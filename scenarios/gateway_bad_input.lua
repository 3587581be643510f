-- Malformed or ambiguous requests are rejected with a specific status, reach no
-- target and do not affect other requests. Guards against request smuggling.
local gateways = require("gateways")
local fleet = gateways.start{}

local function rejects(status, bytes, text)
  local answer = fleet:send(bytes)
  expect_equal(status, answer.status, text)
  return answer
end
local head = "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n" ..
                 "X-Wisteriadale-Key: " .. gateways.key .. "\r\n" ..
                 "X-Wisteriadale-Request-Id: smuggled\r\n"
local smuggled = "POST /orders/2 HTTP/1.1\r\nHost: shop.example\r\n" ..
                   "X-Wisteriadale-Request-Id: smuggled\r\n\r\n"

rejects(400, head .. "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" ..
            "0\r\n\r\n" .. smuggled, "both Content-Length and Transfer-Encoding")
rejects(400, head .. "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" ..
            smuggled, "two Content-Length headers")
rejects(400, head .. "Transfer-Encoding: gzip\r\n\r\n" .. smuggled,
        "unsupported transfer coding")
rejects(400, head .. "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" ..
            smuggled, "two transfer codings")
rejects(400, head .. "Content-Length: 0\r\nX-A: b\r\n c: d\r\n\r\n" .. smuggled,
        "folded header")
rejects(400, head .. "Content-Length : 4\r\n\r\nabcd" .. smuggled,
        "space before the colon")
rejects(400, "POST /orders/1 HTTP/1.1\r\nX-A: b\r\n\r\n",
        "missing Host header")
rejects(400, "POST /orders/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "two Host headers")
rejects(400, "nonsense\r\n\r\n", "not HTTP")
rejects(431, head .. "X-Long: " .. ("x"):rep(8000) .. "\r\n\r\n",
        "headers too large")
rejects(413, head .. "Content-Length: 30000\r\n\r\n" .. ("x"):rep(30000),
        "body too large")

-- An incomplete request ends at the operator's header timeout.
local slow = connect(fleet.all[1].callers)
slow:send("GET /stock/1 HTTP/1.1\r\nHost: ")
slow:wait_closed(4000)
expect(slow.received:find("408", 1, true),
       "408 for an incomplete request: " .. slow.received)

expect_equal(0, #fleet:runs("smuggled"), "no smuggled request reached a target")
expect_equal(400, fleet:request{path = "/drafts/1", method = "POST", body = "x"}
                      .status, "missing piece counts")
expect_equal(200, fleet:request{path = "/stock/1"}.status, "still serving")

fleet:stop()
