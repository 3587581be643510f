-- Rows that gateways wrote are lost when the store returns from an older copy of
-- itself: they are written again, as gateways that start find the others by them.
local gateways = require("gateways")
local fleet = gateways.start{without_routes = true}
fleet:take_copy()
fleet:configure(gateways.document(10))
local second = fleet:add()
second.settings["/gateways/seeds"] = nil
fleet:wait_for_status(second.operators, "/readyz", 200)

local function listed()
  local rows = http{port = fleet.store_port,
                    path = "/v1/rows-get?table=wisteria-gateways&part="}.json.rows
  local names = {}
  for _, row in ipairs(rows) do names[row.key] = true end
  return names
end
wait_until(function() return listed().g2 end, 3000, "the row of g2")
fleet:restore()
expect_equal(nil, listed().g2, "the copy has no row of g2")
-- Gateways read the list each 5 to 6 s.
wait_until(function() return listed().g2 end, 7000, "the row of g2 again")

second.process:stop()
wait_until(function() return not listed().g2 end, 3000, "its row is removed")
runner.pump(6000)
expect_equal(nil, listed().g2, "a gateway that stops does not write it again")

fleet:stop()
