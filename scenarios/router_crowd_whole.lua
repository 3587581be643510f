-- Whole bodies of legal size, all at once, to a target that takes its time.
local crowds = require("router_crowds")
local fleet = crowds.start()
local body = crowds.body(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end, {callers = 150, whole = true})
crowds.expect_borne(fleet, callers)
