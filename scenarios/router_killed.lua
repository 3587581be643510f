-- A router is killed while a booking is in flight, and the caller sends it
-- again through another router. Guards against a second run of the booking.
local fleet = require("fleet")

local kServiceUs = 400000
local kRounds = 4

local deployment = fleet.start{routers = 2, service = {service_us = kServiceUs}}

--- Watches the ledger for longer than a run takes, so that a second run would
--- be seen, and returns the number of runs.
local function final_run_count(key)
  local count = deployment:run_count(key)
  expect_for(2 * kServiceUs / 1000, function()
    count = deployment:run_count(key)
    return count <= 1
  end, "at most one run of " .. key)
  return count
end

for round = 1, kRounds do
  local key = "killed-" .. round
  local order = {frame = "cone", round = round}
  local first = deployment:send("booking", order, {key = key, router = 1})
  if round % 2 == 0 then
    -- Killed after dispatch; in odd rounds at any point before it.
    wait_until(function() return deployment:run_count(key) == 1 end, 5000,
               "the booking runs on the target")
  end
  deployment.routers[1]:kill()
  expect_equal(-9, deployment.routers[1]:wait(), "the router was killed")
  expect(not first:wait().complete, "the first caller gets no complete answer")

  local second = deployment:request("booking", order, {
        key = key, router = 2, deadline_ms = 3000})
  local runs = final_run_count(key)
  if second.status == 200 then
    expect_equal(1, runs, "runs of a successful booking")
  elseif second.json.error.outcome == "not_run" then
    expect_equal(0, runs, "runs of a booking reported as not run")
  else
    expect_equal("unknown", second.json.error.outcome,
                 "outcome of the second request")
  end

  deployment:start_router(1)
  deployment:wait_ready()
end

deployment:expect_running()
deployment:stop()
