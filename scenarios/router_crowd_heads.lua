-- Heads that do not end, on more connections than the router has descriptors.
local crowds = require("router_crowds")
local fleet = crowds.start()
local head = "GET /v1/operator/status HTTP/1.1\r\nHost: a\r\nA: " ..
                 ("x"):rep(1000) .. "\r\n"
local callers = crowds.send(fleet, function() return head end,
                            {callers = 650, whole = true})
crowds.expect_borne(fleet, callers)
