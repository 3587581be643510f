-- The store returns from an older copy of itself: targets that had been removed get
-- no work while their entries may be outdated, those that started since then keep
-- theirs.
local gateways = require("gateways")
-- A target writes its entry each 1.2 s; entries expire after three times that.
local kExpiryMs = 3600

local fleet = gateways.start{}
local gone, started = fleet.targets[1], fleet.targets[4]
fleet:remove_target(started)
fleet:wait_until_leaving(fleet.all[1], started.id)
fleet:take_copy()
fleet:remove_target(gone)
fleet:register_target(started, {born = 2})
fleet:wait_until_leaving(fleet.all[1], gone.id)
wait_until(function()
  return fleet:count_runs({method = "POST", path = "/notes/1", body = "x"},
                          8)[started.id]
end, 3000, "work for the target that started")

fleet:restore()
fleet:write_other_rows(20)
for _ = 1, 6 do
  runner.pump(500)
  local counts = fleet:count_runs({path = "/stock/1"}, 4)
  expect_equal(nil, counts[gone.id], "work for a target that was removed")
  if _ == 3 then fleet:register_target(started, {born = 2, sequence = 2}) end
  counts = fleet:count_runs({method = "POST", path = "/notes/1", body = "x"}, 8)
  expect(counts[started.id], "work for a target that the copy lacks")
end

-- An entry that outlasts its expiry is written by a target that runs.
runner.pump(kExpiryMs)
wait_until(function()
  return fleet:count_runs({path = "/stock/1"}, 8)[gone.id]
end, 3000, "work for a target whose entry has not expired")

fleet:stop()
