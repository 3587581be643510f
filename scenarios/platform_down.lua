-- The platform is down, slow, or loses answers after writes took effect.
-- Idempotent pipelines go on; bookings wait or are told the truth.
local fleet = require("fleet")

local deployment = fleet.start{routers = 2,
                               router = {["/platform/timeout_ms"] = 500}}

local function expect_lookup(text)
  local answer = deployment:request("lookup", {item = "cone"}, {router = 2})
  expect_equal(200, answer.status, "lookup, " .. text .. ": " .. answer.body)
end

--- Expects that the answer agrees with the ledger.
local function expect_truth(answer, key, text)
  local runs = deployment:run_count(key)
  expect(runs <= 1, "at most one run, " .. text)
  if answer.status == 200 then
    expect_equal(1, runs, "runs behind a whole answer, " .. text)
  elseif answer.json.error.outcome == "not_run" then
    expect_equal(0, runs, "runs behind 'not run', " .. text)
  else
    expect_equal("unknown", answer.json.error.outcome, text)
  end
end

-- Down beyond the deadline.
deployment:set_faults{table_down = true, objects_down = true,
                      vm_list_down = true}
expect_lookup("platform down")
local refused = deployment:request("booking", {n = 1},
                                   {key = "down-1", deadline_ms = 1500})
expect(refused.status ~= 200, "no booking without the table")
expect_truth(refused, "down-1", "table down")

-- Back within the deadline: the booking waited and ends well.
local waiting = deployment:send("booking", {n = 2},
                                {key = "down-2", deadline_ms = 8000})
expect_lookup("a booking waits")
deployment:set_faults{}
expect_equal(200, waiting:wait().status, "booking after the outage")
expect_truth(waiting:wait(), "down-2", "after the outage")

-- Answers of writes are lost after they took effect.
deployment:set_faults{lose_answer_share = 0.5}
for i = 1, 6 do
  local key = "lost-" .. i
  local answer = deployment:request("booking", {n = i},
                                    {key = key, deadline_ms = 6000,
                                     router = 1 + i % 2})
  expect_truth(answer, key, "lost answers")
end

-- Every answer comes too late.
deployment:set_faults{delay_ms = 900}
expect_lookup("platform slow")
local slow = deployment:request("booking", {n = 3},
                                {key = "slow-1", deadline_ms = 2500})
deployment:set_faults{}
local again = deployment:request("booking", {n = 3},
                                 {key = "slow-1", router = 2,
                                  deadline_ms = 8000})
expect_truth(again, "slow-1", "after slow answers")
expect(slow.status ~= 200, "no answer through a platform that is too slow")

-- An empty VM list removes nothing.
deployment:set_vms{n = 0}
expect_for(500, function()
  return deployment:status(1).usable_targets == #deployment.vms
end, "all targets stay")
expect_lookup("empty VM list")

deployment:expect_running()
deployment:stop()
