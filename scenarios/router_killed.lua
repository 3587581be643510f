-- A router is killed while a booking is on its way. The second request, through
-- another router, never makes the booking run twice.
local fleet = require("fleet")

local kServiceUs = 400000
local kRounds = 4

local deployment = fleet.start{routers = 2, service = {service_us = kServiceUs}}

local function ledger_settles(key)
  -- Longer than a target takes, so that a second run would be seen.
  local first = deployment:run_count(key)
  expect_for(2 * kServiceUs / 1000, function()
    first = deployment:run_count(key)
    return first <= 1
  end, "at most one run of " .. key)
  return first
end

for round = 1, kRounds do
  local key = "killed-" .. round
  local order = {frame = "cone", round = round}
  local first = deployment:send("booking", order, {key = key, router = 1})
  if round % 2 == 0 then
    -- After dispatch; the odd rounds are killed at any point before it.
    wait_until(function() return deployment:run_count(key) == 1 end, 5000,
               "booking on the target")
  end
  deployment.routers[1]:kill()
  expect_equal(-9, deployment.routers[1]:wait(), "killed router")
  expect(not first:wait().complete, "the first caller has no whole answer")

  local second = deployment:request("booking", order, {
        key = key, router = 2, deadline_ms = 3000})
  local runs = ledger_settles(key)
  if second.status == 200 then
    expect_equal(1, runs, "runs behind a whole answer")
  elseif second.json.error.outcome == "not_run" then
    expect_equal(0, runs, "runs behind 'not run'")
  else
    expect_equal("unknown", second.json.error.outcome, "outcome")
  end

  deployment:start_router(1)
  deployment:wait_ready()
end

deployment:expect_running()
deployment:stop()
