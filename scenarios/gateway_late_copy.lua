-- A target sends a second copy of a response, late, when its connection carries
-- the next request: no caller gets another's response, whether requests have ids
-- or not.
local gateways = require("gateways")
local fleet = gateways.start{}

fleet:set_behaviour{service = "plain", how = "copy"}
for _, with_id in ipairs{true, false} do
  for number = 1, 6 do
    local body = "body-" .. number .. tostring(with_id)
    local answer = fleet:send(gateways.bytes{
      method = "POST", path = "/stock/1", body = body,
      id = with_id and gateways.new_id() or false})
    expect_equal(200, answer.status, "status")
    expect_equal("ran " .. body, answer.body, "the caller's own response")
  end
end

fleet:stop()
