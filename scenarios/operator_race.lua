-- Two operators change the configuration at the same time through two routers:
-- one change is accepted, the other rejected as a conflict, and all routers
-- apply the accepted one. Guards against lost updates and diverging
-- configurations.
local fleet = require("fleet")

local kPropagationMs = 3000
local kRounds = 5

local deployment = fleet.start{routers = 2, pools = {"stock"}}

--- Sends a configuration and does not wait for the response.
local function apply_async(router, preset, expected_version)
  return http_async{
    method = "PUT", port = deployment.router_ports[router],
    path = "/v1/operator/configuration?expected_version=" .. expected_version,
    body = encode(fleet.configuration(preset))}
end

for round = 1, kRounds do
  local version = deployment:status(1).configuration_version
  local changes = {apply_async(1, "peak", version),
                   apply_async(2, "maintenance", version)}
  local winner
  for i, call in ipairs(changes) do
    local answer = call:wait()
    if answer.status == 200 then
      expect(winner == nil, "only one change is accepted")
      winner = i
      expect_equal(version + 1, answer.json.version,
                   "version of the accepted change")
    else
      expect_equal(409, answer.status,
                   "the other change conflicts: " .. answer.body)
      expect_equal("conflict", answer.json.error.name, "name of the error")
    end
  end
  expect(winner, "one change is accepted in round " .. round)
  local preset = winner == 1 and "peak" or "maintenance"
  for router = 1, 2 do
    wait_until(function()
      local status = deployment:status(router)
      return status.configuration_version == version + 1 and
                 status.preset == preset
    end, kPropagationMs, "router " .. router .. " applies the accepted change")
  end
end

-- An invalid configuration is rejected as a whole.
local version = deployment:status(1).configuration_version
local invalid = fleet.configuration("no such preset")
local refused = deployment:apply_configuration(invalid, version)
expect_equal(422, refused.status, "invalid configuration")
expect_equal(version, deployment:status(1).configuration_version,
             "version is unchanged")

-- The router that accepted a version is killed; the others still apply it.
local accepted = deployment:apply_configuration(fleet.configuration("ordinary"),
                                                version)
expect_equal(200, accepted.status, "valid configuration")
deployment.routers[1]:kill()
wait_until(function()
  return deployment:status(2).configuration_version == version + 1
end, kPropagationMs, "the other router applies the version")
deployment:start_router(1)
deployment:wait_ready()
expect_equal(version + 1, deployment:status(1).configuration_version,
             "a restarted router starts with it")

deployment:stop()
