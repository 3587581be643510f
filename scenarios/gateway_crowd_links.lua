-- Callers at the port of the links between gateways, with bodies that stop short
-- of their end, and with heads that do not end.
local crowds = require("crowds")
local fleet = crowds.start{max_descriptors = 1000}
local head = "GET / HTTP/1.1\r\nHost: a\r\nA: " .. ("x"):rep(16000)
local body = "POST / HTTP/1.1\r\nHost: a\r\n" ..
                 "Content-Length: 1000000\r\n\r\n" .. ("x"):rep(1000000)
local callers = crowds.send(fleet, function(number)
  return number % 2 == 0 and head or body
end, {callers = 300, port = fleet.all[1].links})
crowds.expect_borne(fleet, callers)
