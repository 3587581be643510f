-- Bodies of legal size, of callers whose key is unknown.
local crowds = require("router_crowds")
local fleet = crowds.start()
local body = crowds.body(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body, "unknown") .. body
end, {callers = 150})
crowds.expect_borne(fleet, callers)
