-- Bodies of legal size that stop short of their end, on more connections than the
-- router has descriptors.
local crowds = require("router_crowds")
local fleet = crowds.start()
local body = crowds.body(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end, {callers = 650})
crowds.expect_borne(fleet, callers)
