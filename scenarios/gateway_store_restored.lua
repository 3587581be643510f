-- The store returns from an older copy of itself and gives versions out again: what
-- is written from then on is read in time, and without more calls than before.
local gateways = require("gateways")
-- Routes and leaving targets have 2 s to take effect.
local kLimitMs = 2000

--- Adds a route whose prefix names the version of the document.
local function with_route(version)
  return gateways.document(version, function(document)
    local route = {}
    for field, value in pairs(document.routes[1]) do route[field] = value end
    route.name, route["path-prefix"] = "added", "/added-" .. version .. "/"
    table.insert(document.routes, route)
  end)
end

--- The gateway has read further than the store goes after it was restored.
local function check_lower_version()
  local fleet = gateways.start{}
  fleet:take_copy()
  fleet:write_other_rows(40)
  runner.pump(1500)
  fleet:restore()
  local before = fleet:control("store").json.calls
  runner.pump(2000)
  local calls = fleet:control("store").json.calls - before
  -- A feed of 1.2 s, one of 0.6 s, the list of gateways, and two full reads of
  -- each table.
  expect(calls <= 14, "calls in 2 s after the restore: " .. calls)

  fleet:register_target(fleet.targets[1], {state = "draining", sequence = 2})
  fleet:configure(with_route(11))
  runner.pump(kLimitMs)
  expect_equal(200, fleet:request{path = "/added-11/1"}.status, "added route")
  local counts = fleet:count_runs({path = "/stock/1"}, 8)
  expect_equal(8, counts["plain-2"], "work of the target that stays")
  fleet:stop()
end

--- The store's version passes the one that the gateway has read up to before the
--- gateway reads again.
local function check_versions_given_out_again()
  local fleet = gateways.start{}
  fleet:take_copy()
  fleet:write_other_rows(3)
  runner.pump(1500)
  fleet:control("copy", {restore = true})
  fleet:register_target(fleet.targets[1], {state = "draining", sequence = 2})
  fleet:configure(with_route(11))
  fleet:write_other_rows(4)
  runner.pump(kLimitMs)
  expect_equal(200, fleet:request{path = "/added-11/1"}.status, "added route")
  local counts = fleet:count_runs({path = "/stock/1"}, 8)
  expect_equal(8, counts["plain-2"], "work of the target that stays")

  -- Restored once more, to the same copy.
  runner.pump(1300)
  fleet:control("copy", {restore = true})
  fleet:configure(with_route(12))
  fleet:register_target(fleet.targets[3], {state = "draining", sequence = 2})
  fleet:write_other_rows(8)
  runner.pump(kLimitMs)
  expect_equal(200, fleet:request{path = "/added-12/1"}.status, "added route")
  counts = fleet:count_runs({method = "POST", path = "/notes/1", body = "x"}, 8)
  expect_equal(8, counts["engine-2"], "work of the engine that stays")
  fleet:stop()
end

check_lower_version()
check_versions_given_out_again()
