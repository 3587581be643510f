-- Callers whose bodies stop short of their end, and who come back at once each
-- time they are refused.
local crowds = require("crowds")
local fleet = crowds.start()
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end)
crowds.send_again(fleet, callers, 10)
crowds.expect_borne(fleet, callers)
