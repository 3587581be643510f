-- A small deployment on loopback: agents, routers, and one stand-in for the
-- platform and the targets.

require("helpers")

local fleet = {}
fleet.__index = fleet

local kStartLimitMs = 10000
local kCallerKey = "caller-key"
fleet.api_key = kCallerKey
local kStages = {"encode", "retrieve", "rerank", "generate"}

--- Overwrites settings, named by JSON pointer, and returns them.
local function merge(settings, overrides)
  for pointer, value in pairs(overrides or {}) do settings[pointer] = value end
  return settings
end

--- Returns the initial configuration document of all scenarios.
function fleet.configuration(preset)
  local stages = {}
  for _, stage in ipairs(kStages) do
    stages[#stages + 1] = {name = stage, pool = stage,
                           streamed = stage == "generate"}
  end
  return {
    preset = preset or "ordinary",
    presets = {ordinary = {max_attempts = 3}, peak = {max_attempts = 2},
               maintenance = {max_attempts = 3}},
    pipelines = {
      answer = {deadline_ms = 5000, stages = stages},
      booking = {deadline_ms = 5000,
                 stages = {{name = "book", pool = "orders",
                            idempotent = false}}},
      lookup = {deadline_ms = 2000,
                stages = {{name = "look", pool = "stock"}}}},
    organisations = {molde = {key_sha256 = sha256(kCallerKey), weight = 1},
                     other = {key_sha256 = sha256("other-key"), weight = 1}}}
end

--- Starts a fleet. Options: routers (number), pools (names), copies (targets of
--- each pool), engine (behaviour of the engines), service (behaviour of other
--- targets), agent, router (settings overrides), relay_agents, relay_platform
--- (place a relay in front of them), configure (false applies no
--- configuration).
function fleet.start(options)
  options = options or {}
  local self = setmetatable({options = options, agents = {}, routers = {},
                             agent_relays = {}, router_ports = {}}, fleet)
  self.pools = options.pools or
                   {"encode", "retrieve", "rerank", "generate", "orders",
                    "stock"}
  self.platform_port = free_port()
  self:define_targets(options.copies or 1)
  self.standin = start("wisteria-standin", {
    ["/name"] = "standin", ["/listen/port"] = self.platform_port,
    ["/targets"] = self.targets, ["/vms"] = self.vms, ["/random_seed"] = 7})
  self:wait_for_ok(self.platform_port, "/vms")
  if options.relay_platform then
    self.platform_relay = relay(self.platform_port)
  end
  for _, target in ipairs(self.targets) do self:start_agent(target.id) end
  for i = 1, options.routers or 1 do self:start_router(i) end
  if options.configure ~= false then self:configure() end
  return self
end

function fleet:define_targets(copies)
  self.targets, self.vms, self.agent_ports = {}, {}, {}
  for _, pool in ipairs(self.pools) do
    for copy = 1, copies do
      local id = pool .. "-" .. copy
      local target = {id = id, port = free_port(),
                      kind = pool == "generate" and "engine" or "stage"}
      local behaviour = pool == "generate" and self.options.engine
                            or self.options.service
      self.targets[#self.targets + 1] = merge(target, behaviour)
      local port = free_port()
      self.agent_ports[id] = port
      local advertised_port = port
      if self.options.relay_agents then
        self.agent_relays[id] = relay(port)
        advertised_port = self.agent_relays[id].port
      end
      self.vms[#self.vms + 1] = {
        name = id, role = "target", state = "live", pool = pool,
        data_centre = "a", address = "127.0.0.1",
        port = advertised_port}
    end
  end
end

--- Returns the port at which agents and routers reach the platform.
function fleet:reachable_platform_port()
  return self.platform_relay and self.platform_relay.port or self.platform_port
end

function fleet:start_agent(id)
  local target
  for _, entry in ipairs(self.targets) do
    if entry.id == id then target = entry end
  end
  local settings = {
    ["/name"] = id, ["/listen/port"] = self.agent_ports[id],
    ["/target/port"] = target.port, ["/target/pool"] = id:match("^(.*)-"),
    ["/platform/port"] = self:reachable_platform_port(),
    ["/invariants_fatal"] = true, ["/log/level"] = "debug"}
  self.agents[id] = start("wisteria-agent", merge(settings, self.options.agent))
end

function fleet:start_router(number)
  local port = self.router_ports[number] or free_port()
  self.router_ports[number] = port
  local settings = {
    ["/name"] = "router-" .. number, ["/listen/port"] = port,
    ["/platform/port"] = self:reachable_platform_port(),
    ["/configuration/poll_ms"] = 100, ["/vm_list/poll_ms"] = 100,
    ["/stop/grace_ms"] = 100, ["/invariants_fatal"] = true,
    ["/log/level"] = "debug"}
  self.routers[number] =
      start("wisteria-router", merge(settings, self.options.router))
  self:wait_for_ok(port, "/healthz")
end

function fleet:wait_for_ok(port, path)
  wait_until(function()
    return http{port = port, path = path, timeout_ms = 1000}.status == 200
  end, kStartLimitMs, "response with status 200 on port " .. port)
end

--- Applies a configuration through a router and returns its response.
function fleet:apply_configuration(document, expected_version, router)
  return http{method = "PUT", port = self.router_ports[router or 1],
              path = "/v1/operator/configuration?expected_version=" ..
                  expected_version,
              body = type(document) == "string" and document
                  or encode(document)}
end

function fleet:configure()
  local answer = self:apply_configuration(fleet.configuration(), 0)
  expect_equal(200, answer.status, "initial configuration: " .. answer.body)
  self:wait_ready()
end

--- Waits until every running router is ready and can use every target.
function fleet:wait_ready()
  for number, process in ipairs(self.routers) do
    if process:running() then
      wait_until(function()
        local status = self:status(number)
        return status and status.ready and status.usable_targets == #self.vms
      end, kStartLimitMs, "router " .. number .. " is ready")
    end
  end
end

--- Returns a router's status from the operator API, or nil while it does not
--- respond.
function fleet:status(router)
  return http{port = self.router_ports[router or 1],
              path = "/v1/operator/status", timeout_ms = 1000}.json
end

--- Sends a caller's request and returns at once. Options: router, key
--- (idempotency key), events (request a stream), deadline_ms, api_key, port,
--- headers, timeout_ms.
function fleet:send(pipeline, body, options)
  options = options or {}
  local headers = {authorization = "Bearer " .. (options.api_key or kCallerKey)}
  if options.key then headers["idempotency-key"] = options.key end
  if options.events then headers.accept = "text/event-stream" end
  if options.deadline_ms then
    headers["request-timeout-ms"] = tostring(options.deadline_ms)
  end
  merge(headers, options.headers)
  return http_async{
    method = "POST", path = "/v1/pipelines/" .. pipeline .. "/requests",
    port = options.port or self.router_ports[options.router or 1],
    headers = headers, timeout_ms = options.timeout_ms or 30000,
    body = type(body) == "string" and body or encode(body)}
end

--- Sends a request as send does, and waits for the response.
function fleet:request(pipeline, body, options)
  return self:send(pipeline, body, options):wait()
end

--- Sets the faults that the stand-in injects; all others are cleared.
function fleet:set_faults(faults)
  local answer = http{method = "POST", port = self.platform_port,
                      path = "/control/faults", body = encode(faults or {})}
  expect_equal(200, answer.status, "faults are set")
end

--- Sets the VM list that the platform serves.
function fleet:set_vms(vms)
  http{method = "POST", port = self.platform_port, path = "/control/vms",
       body = encode(vms)}
end

--- Returns how often targets ran the operation with a caller's idempotency key.
function fleet:run_count(key)
  local ledger = http{port = self.platform_port, path = "/control/ledger"}.json
  local count = 0
  for _, entry in ipairs(ledger.operations) do
    if entry.operation_key:sub(-#key - 1) == "/" .. key then
      count = count + 1
    end
  end
  return count
end

--- Returns the sum of a metric over its labels at a port, 0 if it is absent.
function fleet.metric(port, name)
  local text = http{port = port, path = "/metrics"}.body
  local sum = 0
  for line in text:gmatch("[^\n]+") do
    local found, value = line:match("^([%w_]+)[^ ]* (%S+)$")
    if found == name then sum = sum + tonumber(value) end
  end
  return sum
end

--- Stops every process gracefully and expects exit code 0.
function fleet:stop()
  local processes = {}
  for _, process in ipairs(self.routers) do processes[#processes + 1] = process end
  for _, process in pairs(self.agents) do processes[#processes + 1] = process end
  for _, process in ipairs(processes) do
    if process:running() then
      process:stop()
      process.stopping = true
    end
  end
  for _, process in ipairs(processes) do
    if process.stopping then
      expect_equal(0, process:wait(10000), "exit code after a planned stop")
    end
  end
  self.standin:stop()
  expect_equal(0, self.standin:wait(5000), "exit code of the stand-in")
end

--- Expects that every router and agent is still running.
function fleet:expect_running()
  for number, process in ipairs(self.routers) do
    expect(process:running(), "router " .. number .. " is running")
  end
  for id, process in pairs(self.agents) do
    expect(process:running(), "agent " .. id .. " is running")
  end
end

return fleet
