-- A request that asks for more pieces than can be handled is rejected, and the
-- process goes on.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

for _, counts in ipairs{"4000000000,1", "1,4294967295", "5000,5000"} do
  local answer = fleet:request{
    method = "POST", path = "/drafts/1", body = "x",
    headers = {["X-Wisteriadale-Pieces"] = counts,
               ["X-Wisteriadale-Piece-Key"] = "0a"}}
  expect_equal(400, answer.status, "status for " .. counts)
end
for _, gateway in ipairs(fleet.all) do
  expect(gateway.process:running(), gateway.name .. " runs")
  expect(gateway.process:resident_kb() < 100000, "memory")
  expect_equal(200, fleet:request{path = "/stock/1", gateway = gateway}.status,
               "still serves")
end

fleet:stop()
