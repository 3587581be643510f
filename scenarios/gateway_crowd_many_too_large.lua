-- Bodies far over the limit, announced or just sent, on many connections: what
-- they send and the gateway does not read counts as its memory, too.
local crowds = require("crowds")
local fleet = crowds.start{max_descriptors = 1000}
local announced = crowds.head("Content-Length: 1000000000") ..
                      ("x"):rep(4 * crowds.body_bytes)
local chunked = crowds.head("Transfer-Encoding: chunked") ..
                    crowds.chunks(4 * crowds.body_bytes, 100000)
local callers = crowds.send(fleet, function(number)
  return number % 2 == 0 and announced or chunked
end, {callers = 300, capped = true})
crowds.expect_borne(fleet, callers)
