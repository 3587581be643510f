-- Callers that read no answer, beside others whose bodies stop short of their
-- end.
local crowds = require("crowds")
local fleet = crowds.start()
fleet:set_behaviour{service = "plain", padding = 1040000}
local requests = ""
for _ = 1, 20 do requests = requests .. crowds.head("Accept-Language: en", "GET") end
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function(number)
  return number % 2 == 0 and requests or
             crowds.head("Content-Length: " .. #body) .. body
end, {callers = 100})
fleet.memory:pump(3000)
fleet:set_behaviour{service = "plain"}
crowds.expect_borne(fleet, callers)
