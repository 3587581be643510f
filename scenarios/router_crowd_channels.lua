-- Connections at the port of callers that continue as channels, and whose
-- messages stop short of their end.
local crowds = require("router_crowds")
local fleet = crowds.start()
local handshake = "GET /peer HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n" ..
                      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" ..
                      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" ..
                      "Sec-WebSocket-Protocol: wisteria-peer\r\n\r\n"
-- A masked binary frame of four million bytes, whose mask is zero.
local frame = "\x82\xff" .. string.pack(">I8", 4000000) .. "\0\0\0\0"
local message = handshake .. frame .. ("x"):rep(3900000)
local callers = crowds.send(fleet, function() return message end,
                            {callers = 60, part_bytes = #message,
                             send_limit_ms = 3000})
crowds.expect_borne(fleet, callers)
