-- Callers at the port of the operators: heads that do not end, and bodies.
local crowds = require("crowds")
local fleet = crowds.start{max_descriptors = 1000}
local head = "GET /metrics HTTP/1.1\r\nHost: a\r\nA: " .. ("x"):rep(16000)
local body = "POST /metrics HTTP/1.1\r\nHost: a\r\n" ..
                 "Content-Length: 1000000000\r\n\r\n" ..
                 ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function(number)
  return number % 2 == 0 and head or body
end, {callers = 300, port = fleet.all[1].operators})
fleet.memory:pump(1000)
crowds.close(callers)
crowds.expect_borne(fleet, {})
