-- A gateway that the store turns away learns from the others: newer routes, keys
-- that were taken back, and targets that leave.
local gateways = require("gateways")
local fleet = gateways.start{}
local way = relay(fleet.store_port)
local cut = fleet:add{["/store/endpoint"] = "127.0.0.1:" .. way.port}
fleet:wait_answering(cut.operators, "/readyz", 200)
local function linked()
  return http{port = cut.operators, path = "/metrics"}.body
             :find("wisteria_gateways_linked 1", 1, true)
end
wait_until(linked, 3000, "the gateways are linked")
way:refuse()
way:cut()
runner.pump(300)

fleet:configure(gateways.document(20, function(document)
  document.tenants[1]["api-keys"] = {"another-key"}
end))
wait_until(function()
  return fleet:ask{path = "/stock/1", gateway = cut}.status == 401
end, 1500, "the key is not taken any more")

fleet:enter(fleet.targets[1], {state = "draining", sequence = 2})
fleet:control("rows", {table = "servers", key = "engine-1"})
runner.pump(1200)
local before = #fleet:runs()
for _ = 1, 8 do
  expect_equal(200, fleet:ask{path = "/stock/1", key = "another-key",
                              gateway = cut}.status, "it serves on")
  expect_equal(200, fleet:ask{method = "POST", path = "/notes/1", body = "x",
                              key = "another-key", gateway = cut}.status,
               "and streams")
end
for number, run in ipairs(fleet:runs()) do
  if number > before then
    expect(run.target ~= "plain-1", "no new work for a draining target")
    expect(run.target ~= "engine-1", "nor for one whose entry is gone")
  end
end

-- What its own view of the store shows later goes first again.
way:admit()
fleet:enter(fleet.targets[3])
wait_until(function()
  local id = fleet:ask{method = "POST", path = "/notes/1", body = "x",
                       key = "another-key", gateway = cut}.id
  return fleet:own_runs(id)[1].target == "engine-1"
end, 6000, "a target whose entry came back")

fleet:stop()
