-- Two operators change the configuration at once: one wins, the other is told
-- that it conflicts, and every router ends with the winner's.
local fleet = require("fleet")

local kInForceMs = 3000
local kRounds = 5

local deployment = fleet.start{routers = 2, pools = {"stock"}}

--- Starts an apply and does not wait for its answer.
local function offer(router, preset, expected_version)
  return http_async{
    method = "PUT", port = deployment.router_ports[router],
    path = "/v1/operator/configuration?expected_version=" .. expected_version,
    body = encode(fleet.configuration(preset))}
end

for round = 1, kRounds do
  local version = deployment:status(1).configuration_version
  local offers = {offer(1, "peak", version), offer(2, "maintenance", version)}
  local winner
  for i, call in ipairs(offers) do
    local answer = call:wait()
    if answer.status == 200 then
      expect(winner == nil, "one winner only")
      winner = i
      expect_equal(version + 1, answer.json.version, "version of the winner")
    else
      expect_equal(409, answer.status, "the other conflicts: " .. answer.body)
      expect_equal("conflict", answer.json.error.name, "name of the error")
    end
  end
  expect(winner, "one of the two wins in round " .. round)
  local preset = winner == 1 and "peak" or "maintenance"
  for router = 1, 2 do
    wait_until(function()
      local status = deployment:status(router)
      return status.configuration_version == version + 1 and
                 status.preset == preset
    end, kInForceMs, "router " .. router .. " follows")
  end
end

-- A configuration with faults changes nothing.
local version = deployment:status(1).configuration_version
local faulty = fleet.configuration("no such preset")
local refused = deployment:apply_configuration(faulty, version)
expect_equal(422, refused.status, "refused whole")
expect_equal(version, deployment:status(1).configuration_version, "version")

-- The accepting router is killed; the others still take the version.
local accepted = deployment:apply_configuration(fleet.configuration("ordinary"),
                                                version)
expect_equal(200, accepted.status, "accepted")
deployment.routers[1]:kill()
wait_until(function()
  return deployment:status(2).configuration_version == version + 1
end, kInForceMs, "the version outlives the router that accepted it")
deployment:start_router(1)
deployment:wait_ready()
expect_equal(version + 1, deployment:status(1).configuration_version,
             "a new router starts with it")

deployment:stop()
