-- Whole uploads one behind the other on each connection, to a target that takes
-- its time: those behind the first are not read meanwhile.
local crowds = require("crowds")
local fleet = crowds.start{max_descriptors = 1000}
fleet:set_behaviour{service = "plain", work_ms = 1500}
local body = ("x"):rep(crowds.body_bytes)
local callers = crowds.send(fleet, function()
  local uploads = {}
  for number = 1, 8 do
    uploads[number] = crowds.head("Content-Length: " .. #body) .. body
  end
  return table.concat(uploads)
end, {callers = 300, capped = true, send_limit_ms = 6000})
fleet:set_behaviour{service = "plain", work_ms = 0}
crowds.expect_borne(fleet, callers)
