-- A crowd whose bodies stop short of their end, while the gateway is told to read
-- its settings again and then to stop: it ends in order.
local crowds = require("crowds")
local fleet = crowds.start()
local gateway = fleet.all[1].process
local body = ("x"):rep(crowds.body_bytes)
local function send()
  return crowds.send(fleet, function()
    return crowds.head("Content-Length: " .. #body) .. body
  end)
end
local callers = send()
gateway:reload()
crowds.close(send())
crowds.expect_served(fleet)
gateway:stop()
gateway:reload()
gateway:stop()
crowds.send_again(fleet, callers, 1)
expect_equal(0, gateway:wait(), "exit code of the gateway")
fleet:stop()
