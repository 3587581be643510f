-- Real gateways under the limits of their deployment, with faults from outside,
-- beside callers of every pace. No process ends by itself or exceeds its memory,
-- and each request that was accepted is answered whole or refused truthfully.
-- WISTERIA_SEED chooses the faults, WISTERIA_SOAK_FAULTS names them instead.
local gateways = require("gateways")
local soak_callers = require("soak_callers")
local soak_checks = require("soak_checks")
local soak_faults = require("soak_faults")
local soak_gateways = require("soak_gateways")
local soak_odd_callers = require("soak_odd_callers")
local soak_targets = require("soak_targets")

local kSeed = tonumber(os.getenv("WISTERIA_SEED") or "1")
local kTimeMs = tonumber(os.getenv("WISTERIA_SOAK_MS") or "25000")
local kNames = os.getenv("WISTERIA_SOAK_FAULTS")
local kGateways = 3
local kCallers = 24
local kTurnMs = 3
local kStallMs = 30
math.randomseed(kSeed)
local random = math.random

local soak = soak_checks.new(kSeed)
local fleet = gateways.start{count = 0, without_routes = true}
soak.fleet, soak.targets, soak.peers, soak.version = fleet, {}, {}, 10
soak.store_relay = relay(fleet.store_port)
fleet:configure(soak_gateways.document(soak.version))
for number = 1, 8 do
  local service = number <= 4 and "bulk" or "press"
  soak.targets[number] = soak_targets.start(soak, service .. "-" .. number, service)
end

local control_calls, control_call = {}, nil
--- Calls the control API of the stand-in, in order and without waiting: it may be
--- paused.
function fleet:control(path, body)
  control_calls[#control_calls + 1] = {path = path, body = encode(body)}
end
local function run_control_calls()
  if control_call and control_call:done() then control_call = nil end
  if control_call or #control_calls == 0 then return end
  local next_call = table.remove(control_calls, 1)
  control_call = http_async{method = "POST", port = fleet.store_port,
                            path = "/control/" .. next_call.path,
                            body = next_call.body}
end

soak.odd_store = soak_targets.start(soak, "odd-store")

local timers = {}
--- Calls a function after a time.
function soak:later(time_ms, action)
  timers[#timers + 1] = {at_ms = now_ms() + time_ms, action = action}
end
local function run_timers()
  local due, kept = {}, {}
  for _, timer in ipairs(timers) do
    local list = now_ms() >= timer.at_ms and due or kept
    list[#list + 1] = timer
  end
  timers = kept
  for _, timer in ipairs(due) do timer.action() end
end

--- Returns a gateway that takes connections, or nil.
function soak:pick_gateway()
  local gateway = self.gateways[random(#self.gateways)]
  if gateway.process and not gateway.life.expected then return gateway end
end

local max_files = random(4) == 1 and random(200, 400) or 4200
soak.slow = random(5) == 1
local faults = kNames and soak_faults.by_name(kNames) or
                   soak_faults.choose(random, random(2, 5))
local names = {}
soak.store_is_calm = true
for number, fault in ipairs(faults) do
  names[number] = fault[1]
  local name = fault[1]
  if name:match("^store") or name == "standin_pause" or name == "pause" then
    soak.store_is_calm = false
  end
end
local recent = {}
--- Returns the last faults.
function soak:faults_now()
  return "after " .. table.concat(recent, ", ", math.max(1, #recent - 3))
end
soak:print(string.format("seed %d, %d descriptors, %s: %s", kSeed, max_files,
                         soak.slow and "0.19 of a core" or "a whole core",
                         table.concat(names, ", ")))

local callers = {}
soak.callers = callers
for number, options in ipairs(soak_callers.mix(random, kCallers)) do
  callers[number] = soak_callers.start(soak, number, options)
end

local last_ms = now_ms()
local longest_ms = 0
local function turn(calling)
  runner.pump(kTurnMs)
  local elapsed_ms = now_ms() - last_ms
  last_ms = now_ms()
  longest_ms = math.max(longest_ms, elapsed_ms)
  local stalled_ms = elapsed_ms > kStallMs and elapsed_ms or 0
  run_timers()
  run_control_calls()
  for _, gateway in ipairs(soak.gateways) do soak_gateways.turn(soak, gateway) end
  for _, target in ipairs(soak.targets) do target:turn(elapsed_ms) end
  soak.odd_store:turn(elapsed_ms)
  soak_odd_callers.turn(soak, elapsed_ms)
  for _, caller in ipairs(callers) do
    if calling or caller.request then caller:turn(elapsed_ms, stalled_ms) end
  end
end

local function ready(gateway)
  local call = http_async{port = gateway.operators, path = "/readyz",
                          timeout_ms = 500}
  while not call:done() do turn(false) end
  return call:wait().status == 200
end
for _ = 1, kGateways do soak_gateways.add(soak, max_files) end
local limit_ms = now_ms() + 10000
for _, gateway in ipairs(soak.gateways) do
  while not ready(gateway) and now_ms() < limit_ms do turn(false) end
end

local start_ms = now_ms()
local next_ms = start_ms + 3000
for _, fault in ipairs(faults) do if fault.at_start then fault[2](soak) end end
while now_ms() - start_ms < kTimeMs do
  if now_ms() >= next_ms then
    local fault = faults[random(#faults)]
    soak:print(fault[1])
    recent[#recent + 1] = fault[1]
    fault[2](soak)
    next_ms = now_ms() + random(100, 2500)
  end
  turn(true)
end

soak.ending = true
for _, gateway in ipairs(soak.gateways) do
  if gateway.life.paused then soak_gateways.continue(gateway) end
end
local drain_ms = now_ms()
local function waiting()
  for _, caller in ipairs(callers) do if caller.request then return true end end
end
while waiting() and now_ms() - drain_ms < 17000 do turn(false) end
for id, request in pairs(soak.requests) do
  local run = soak.runs[id]
  if request.unsafe and request.refused and run then
    soak:fail("REFUSED", id .. " was refused with " .. request.refused ..
                  " and runs " .. run.count .. " times")
  end
end

local counts = {}
for status, count in pairs(soak.statuses) do
  counts[#counts + 1] = status .. ": " .. count
end
table.sort(counts)
local peaks = {}
for number, gateway in ipairs(soak.gateways) do peaks[number] = gateway.peak_kb end
soak:print("responses " .. table.concat(counts, ", ") .. "; peak KB " ..
               table.concat(peaks, ", ") .. "; longest turn " .. longest_ms .. " ms")
local broken = {}
for rule, count in pairs(soak.failures) do broken[#broken + 1] = rule .. " " .. count end
table.sort(broken)
expect((soak.statuses[200] or 0) > 0, "some requests are served")
expect(#broken == 0, "no broken rule; seed " .. kSeed .. ": " ..
           table.concat(broken, ", "))
fleet.all = {}
fleet:stop()
