-- Bodies far over the limit, announced or just sent.
local crowds = require("crowds")
local fleet = crowds.start()
local announced = crowds.head("Content-Length: 1000000000") ..
                      ("x"):rep(4 * crowds.body_bytes)
local chunked = crowds.head("Transfer-Encoding: chunked") ..
                    crowds.chunks(4 * crowds.body_bytes, 100000)
local callers = crowds.send(fleet, function(number)
  return number % 2 == 0 and announced or chunked
end)
crowds.expect_borne(fleet, callers)
