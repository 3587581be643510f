-- Callers with a valid key that send requests one behind the other and read no
-- answer.
local crowds = require("router_crowds")
local fleet = crowds.start()
local body = crowds.body(500000)
local callers = crowds.send(fleet, function()
  return (crowds.head("Content-Length: " .. #body) .. body):rep(4)
end, {callers = 150, whole = true})
fleet.memory:pump(2000)
crowds.expect_borne(fleet, callers)
