-- Whole bodies of legal size, all at once, to a target that takes its time.
local crowds = require("crowds")
local fleet = crowds.start()
fleet:set_behaviour{service = "plain", work_ms = 1500}
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  return crowds.head("Content-Length: " .. #body) .. body
end, {whole = true, part_bytes = crowds.body_bytes})
fleet:set_behaviour{service = "plain", work_ms = 0}
crowds.expect_borne(fleet, callers)
