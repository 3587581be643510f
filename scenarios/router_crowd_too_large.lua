-- Bodies far over the limit, announced, or in chunks, which the router does not
-- take.
local crowds = require("router_crowds")
local fleet = crowds.start()
local rest = ("x"):rep(4 * crowds.body_bytes)
local callers = crowds.send(fleet, function(number)
  local framing = number % 2 == 0 and "Content-Length: 1000000000" or
                      "Transfer-Encoding: chunked"
  return crowds.head(framing) .. rest
end, {callers = 150})
crowds.expect_borne(fleet, callers)
