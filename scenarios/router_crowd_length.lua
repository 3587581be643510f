-- Bodies of legal size that stop short of their end.
local crowds = require("router_crowds")
local fleet = crowds.start()
local body = crowds.body(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end, {callers = 150, part_bytes = crowds.body_bytes})
crowds.expect_borne(fleet, callers)
