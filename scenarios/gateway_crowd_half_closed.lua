-- Bodies that stop short of their end on connections whose callers close their
-- own side.
local crowds = require("crowds")
local fleet = crowds.start()
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end)
for _, caller in ipairs(callers) do caller.socket:shutdown() end
crowds.expect_borne(fleet, callers)
