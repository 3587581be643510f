-- The platform is down, is slow, or loses responses after writes took effect.
-- Idempotent pipelines keep working; bookings wait until it is back, or fail
-- with an outcome that is true. Guards against duplicate bookings, and against
-- bookings that are reported as not run although they ran.
local fleet = require("fleet")

local deployment = fleet.start{routers = 2,
                               router = {["/platform/timeout_ms"] = 500}}

local function expect_lookup(condition)
  local answer = deployment:request("lookup", {item = "cone"}, {router = 2})
  expect_equal(200, answer.status,
               "lookup, " .. condition .. ": " .. answer.body)
end

--- Expects that the reported outcome agrees with the ledger of runs.
local function expect_true_outcome(answer, key, text)
  local runs = deployment:run_count(key)
  expect(runs <= 1, "at most one run, " .. text)
  if answer.status == 200 then
    expect_equal(1, runs, "runs of a successful booking, " .. text)
  elseif answer.json.error.outcome == "not_run" then
    expect_equal(0, runs, "runs of a booking reported as not run, " .. text)
  else
    expect_equal("unknown", answer.json.error.outcome, text)
  end
end

-- Down until after the deadline.
deployment:set_faults{table_down = true, objects_down = true,
                      vm_list_down = true}
expect_lookup("platform down")
local refused = deployment:request("booking", {n = 1},
                                   {key = "down-1", deadline_ms = 1500})
expect(refused.status ~= 200, "no booking while the table is down")
expect_true_outcome(refused, "down-1", "table down")

-- Back within the deadline: the booking waits and succeeds.
local waiting = deployment:send("booking", {n = 2},
                                {key = "down-2", deadline_ms = 8000})
expect_lookup("while a booking waits")
deployment:set_faults{}
expect_equal(200, waiting:wait().status, "booking after the outage")
expect_true_outcome(waiting:wait(), "down-2", "after the outage")

-- Responses of writes are lost after the writes took effect.
deployment:set_faults{lose_answer_share = 0.5}
for i = 1, 6 do
  local key = "lost-" .. i
  local answer = deployment:request("booking", {n = i},
                                    {key = key, deadline_ms = 6000,
                                     router = 1 + i % 2})
  expect_true_outcome(answer, key, "lost responses")
end

-- Every response of the platform arrives after the timeout.
deployment:set_faults{delay_ms = 900}
expect_lookup("platform slow")
local slow = deployment:request("booking", {n = 3},
                                {key = "slow-1", deadline_ms = 2500})
deployment:set_faults{}
local again = deployment:request("booking", {n = 3},
                                 {key = "slow-1", router = 2,
                                  deadline_ms = 8000})
expect_true_outcome(again, "slow-1", "after slow responses")
expect(slow.status ~= 200, "no success while the platform is too slow")

-- An empty VM list removes no targets.
deployment:set_vms{n = 0}
expect_for(500, function()
  return deployment:status(1).usable_targets == #deployment.vms
end, "all targets stay usable")
expect_lookup("empty VM list")

deployment:expect_running()
deployment:stop()
