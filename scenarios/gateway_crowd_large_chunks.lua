-- Bodies in large chunks, of which the last stops short of its end.
local crowds = require("crowds")
local fleet = crowds.start()
local body = crowds.chunks(crowds.body_bytes, 500000)
local callers = crowds.send(fleet, function()
  return crowds.head("Transfer-Encoding: chunked") .. body
end)
crowds.expect_borne(fleet, callers)
