-- Bodies of legal size, with a length, sent at once; they stop short of their end.
local crowds = require("crowds")
local fleet = crowds.start()
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end, {part_bytes = crowds.body_bytes})
crowds.expect_borne(fleet, callers)
