-- Heads that do not end, on more connections than the gateway has descriptors.
local crowds = require("crowds")
local fleet = crowds.start()
local head = "GET /stock/1 HTTP/1.1\r\nHost: a\r\nA: " .. ("x"):rep(1000) ..
                 "\r\n"
local callers = crowds.send(fleet, function() return head end,
                            {callers = 450, whole = true})
crowds.expect_borne(fleet, callers)
