-- A gateway that cannot reach the store learns from the other gateways of newer
-- routes, revoked keys, and leaving targets.
local gateways = require("gateways")
local fleet = gateways.start{}
local store_relay = relay(fleet.store_port)
local isolated = fleet:add{
  ["/store/endpoint"] = "127.0.0.1:" .. store_relay.port}
fleet:wait_for_status(isolated.operators, "/readyz", 200)
local function linked()
  return http{port = isolated.operators, path = "/metrics"}.body
             :find("wisteria_gateways_linked 1", 1, true)
end
wait_until(linked, 3000, "the gateways are linked")
store_relay:refuse()
store_relay:cut()
runner.pump(300)

fleet:configure(gateways.document(20, function(document)
  document.tenants[1]["api-keys"] = {"another-key"}
end))
wait_until(function()
  return fleet:request{path = "/stock/1", gateway = isolated}.status == 401
end, 1500, "the old key is rejected")

fleet:register_target(fleet.targets[1], {state = "draining", sequence = 2})
fleet:control("rows", {table = "servers", key = "engine-1"})
runner.pump(1200)
local before = #fleet:runs()
for _ = 1, 8 do
  expect_equal(200, fleet:request{path = "/stock/1", key = "another-key",
                                  gateway = isolated}.status, "still serving")
  expect_equal(200, fleet:request{method = "POST", path = "/notes/1", body = "x",
                                  key = "another-key", gateway = isolated}
                        .status, "still streaming")
end
for number, run in ipairs(fleet:runs()) do
  if number > before then
    expect(run.target ~= "plain-1", "no new work for a draining target")
    expect(run.target ~= "engine-1", "nor for one without an entry")
  end
end

-- Once it reaches the store again, what it reads there takes precedence.
store_relay:accept()
fleet:register_target(fleet.targets[3])
wait_until(function()
  local id = fleet:request{method = "POST", path = "/notes/1", body = "x",
                           key = "another-key", gateway = isolated}.id
  return fleet:own_runs(id)[1].target == "engine-1"
end, 6000, "new work for a target whose entry is back")

fleet:stop()
