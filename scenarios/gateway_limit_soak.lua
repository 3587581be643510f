-- Gateways are killed, stopped, paused and started, the configuration changes
-- and a limit comes and goes, in series and overlapping, while callers use their
-- connections until they are closed. A target that names a limit throughout gets
-- no more than the bound, and every response is its caller's own. The seed is
-- taken from WISTERIA_SEED.
local gateways = require("gateways")
local limits = require("request_limits")
local kSeed = tonumber(os.getenv("WISTERIA_SEED") or "1")
local kTimeMs = tonumber(os.getenv("WISTERIA_SOAK_MS") or "20000")
local kGateways = tonumber(os.getenv("WISTERIA_GATEWAYS") or "4")
local kCallers = 3 * kGateways
local kLimit = 3
math.randomseed(kSeed)

local fleet = gateways.start{count = kGateways,
                             settings = {["/stop/grace_s"] = 4}}
fleet:set_behaviour{id = "plain-1", limits = {tostring(kLimit)}, work_ms = 5}
fleet:set_behaviour{id = "plain-2", work_ms = 5}

local running = {}
for _, gateway in ipairs(fleet.all) do running[#running + 1] = gateway end
local function pick() return math.random(#running) end
local version = 10
local limited = false

local function add()
  if #running >= kGateways + 2 then return end
  running[#running + 1] = fleet:add{["/stop/grace_s"] = 4}
end
local function remove(end_process)
  if #running <= 2 then return end
  local gateway = table.remove(running, pick())
  if gateway.paused then gateway.process:continue() end
  end_process(gateway)
end
local actions = {
  add, add,
  function()
    remove(function(gateway)
      gateway.killed = true
      gateway.process:kill()
    end)
  end,
  function()
    remove(function(gateway) gateway.process:stop() end)
  end,
  function()
    local gateway = running[pick()]
    gateway.paused = not gateway.paused
    if gateway.paused then gateway.process:pause()
    else gateway.process:continue() end
  end,
  function()
    version = version + 1
    fleet:configure(gateways.document(version))
  end,
  function()
    limited = not limited
    fleet:set_behaviour{id = "plain-2", work_ms = 5,
                        limits = limited and {"4"} or nil}
  end}

local callers, responses, foreign, cut = {}, 0, 0, 0
for number = 1, kCallers do callers[number] = {next_ms = 0, count = 0} end

--- Sends the next request of a caller, on its open connection if it has one.
local function send(caller, number)
  if not caller.socket then
    local gateway = running[pick()]
    local opened, socket = pcall(connect, gateway.callers)
    if not opened then return end
    caller.socket, caller.gateway, caller.read = socket, gateway, 0
  end
  caller.count = caller.count + 1
  caller.body = number .. "-" .. caller.count
  caller.socket:send(gateways.bytes{method = "POST", path = "/stock/1",
                                    body = caller.body})
  caller.waits, caller.sent_ms = true, now_ms()
end

--- Takes what has arrived for a caller.
local function receive(caller)
  local text = caller.socket:read():sub(caller.read + 1)
  local answer = gateways.parse(text)
  if answer and answer.complete then
    responses = responses + 1
    if answer.status == 200 and answer.body ~= "ran " .. caller.body then
      foreign = foreign + 1
    end
    caller.read = caller.read + #text
    caller.waits = false
  elseif caller.socket.closed and answer and not caller.gateway.killed then
    cut = cut + 1
  end
  if caller.socket.closed or
      (answer and answer.headers["connection"] == "close") or
      (caller.waits and now_ms() - caller.sent_ms > 6000) then
    caller.socket:close()
    caller.socket, caller.waits = nil, false
  end
end

local start_ms, next_action_ms = now_ms(), now_ms() + 4000
while now_ms() - start_ms < kTimeMs do
  if now_ms() >= next_action_ms then
    actions[math.random(#actions)]()
    next_action_ms = now_ms() + math.random(50, 1500)
  end
  for number, caller in ipairs(callers) do
    if caller.socket and caller.waits then receive(caller) end
    if not caller.waits and now_ms() >= caller.next_ms then
      send(caller, number)
      caller.next_ms = now_ms() + math.random(100, 500)
    end
  end
  runner.pump(3)
end
limits.expect_bound(fleet, "plain-1", kLimit)
expect_equal(0, foreign, "responses of others, seed " .. kSeed)
expect_equal(0, cut, "cut responses of gateways that were not killed")
expect(responses > kTimeMs / 1000 * kCallers / 4, "responses: " .. responses)
for _, gateway in ipairs(running) do
  if gateway.paused then gateway.process:continue() end
end

fleet:stop()
