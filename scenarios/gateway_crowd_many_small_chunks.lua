-- Bodies in very small chunks, on many connections, before a gateway that has a
-- fifth of a core: they arrive faster than they are read.
local crowds = require("crowds")
local fleet = crowds.start{max_descriptors = 1000}
local body = crowds.chunks(crowds.body_bytes, 16)
local callers = crowds.send(fleet, function()
  return crowds.head("Transfer-Encoding: chunked") .. body
end, {callers = 300, capped = true})
crowds.expect_borne(fleet, callers)
