-- Gateways of a soak: real processes under the limits of their deployment, which
-- are started, signalled and watched from outside.

local gateways = require("gateways")
local soak_targets = require("soak_targets")

local soak_gateways = {}

local kLimitKb = 260 * 1024
local kWatchMs = 50
local kDutyMs = 100
local kDutyRunsMs = 19
local kGraceMs = 8000

local function route(document, name, prefix, kind, timeout_ms, service)
  document.routes[#document.routes + 1] =
      {name = name, host = gateways.host, ["path-prefix"] = prefix, kind = kind,
       service = service or "bulk", ["timeout-ms"] = timeout_ms,
       ["target-latency-ms"] = 1000, priority = 1, ["max-attempts"] = 2,
       public = false, sticky = false, resumable = false}
  return document.routes[#document.routes]
end

--- Returns the configuration document of a version.
function soak_gateways.document(version)
  return gateways.document(version, function(document)
    for _, each in ipairs(document.routes) do
      if each.service == "plain" then each.service = "bulk" end
    end
    route(document, "sheet", "/sheets/", "idempotent", 15000)
    route(document, "upload", "/uploads/", "non_idempotent", 15000)
    route(document, "quick", "/quick/", "idempotent", 800)
    route(document, "craft", "/crafts/", "streaming", 3000, "engine").stages =
        {{service = "press", after = {n = 0}, ["size-bytes"] = 8000}}
    route(document, "changing", "/changing/" .. version .. "/", "idempotent", 3000)
    for _, each in ipairs(document.services) do
      each["max-connections"] = 290
    end
    local press = {name = "press", ["health-path"] = "/healthz",
                   ["max-connections"] = 290}
    for _, each in ipairs(document.services) do
      if each.name == "first" then press.pieces = each.pieces end
    end
    table.insert(document.services, press)
    table.insert(document.services, {name = "bulk", ["health-path"] = "/healthz",
                                     ["max-connections"] = 290})
    for _, each in ipairs(document.services) do
      each["cold-start-s"] = soak_targets.cold_ms / 1000
      each["cold-per-s"] = soak_targets.cold_per_s
    end
    document.limits["max-body-bytes"] = 4194304
    document.limits["header-timeout-ms"] = 3000
    document.limits["idle-timeout-ms"] = 20000
  end)
end

--- Adds a gateway to the soak and starts it.
function soak_gateways.add(soak, max_files)
  local fleet = soak.fleet
  local gateway = {name = "g" .. #soak.gateways + 1, callers = free_port(),
                   operators = free_port(), links = free_port(),
                   max_files = max_files, grace_ms = kGraceMs, peak_kb = 0}
  local function at(port) return "127.0.0.1:" .. port end
  gateway.relay = relay(gateway.callers)
  gateway.settings = {["/name"] = gateway.name,
                      ["/listen/callers"] = at(gateway.callers),
                      ["/listen/operators"] = at(gateway.operators),
                      ["/listen/gateways"] = at(gateway.links),
                      ["/store/endpoint"] = at(soak.store_relay.port),
                      ["/capacity/cores"] = 0.19, ["/capacity/link_mbps"] = 1000,
                      ["/stop/grace_s"] = kGraceMs // 1000,
                      ["/log/json"] = true}
  local seeds = {}
  for _, other in ipairs(soak.gateways) do seeds[#seeds + 1] = at(other.links) end
  if #seeds > 0 then gateway.settings["/gateways/seeds"] = seeds end
  soak.gateways[#soak.gateways + 1] = gateway
  soak_gateways.start(gateway)
  fleet.all[#fleet.all + 1] = gateway
  return gateway
end

function soak_gateways.start(gateway)
  gateway.process = start("wisteria-gateway", gateway.settings, gateway.max_files)
  gateway.life = {started_ms = now_ms(), disturbed_ms = now_ms()}
  gateway.start_ms = nil
end

function soak_gateways.kill(gateway)
  gateway.life.expected, gateway.life.killed = -9, true
  gateway.process:kill()
end

function soak_gateways.stop(gateway)
  if gateway.life.expected then return end
  gateway.life.stop_ms, gateway.life.expected = now_ms(), 0
  gateway.process:stop()
end

function soak_gateways.pause(gateway)
  gateway.life.paused = true
  gateway.process:pause()
end

function soak_gateways.continue(gateway)
  gateway.life.paused, gateway.life.disturbed_ms = false, now_ms()
  gateway.process:continue()
end

local function check_end(soak, gateway, code)
  local life = gateway.life
  local since = now_ms() - life.started_ms
  if code ~= life.expected then
    life.failed = true
    local text = string.format("exit code %d, %d ms after its start, %s", code,
                               since, life.stop_ms and "of a planned stop" or
                                   "which nobody asked for")
    soak:fail("FAULT", text, gateway)
  end
  gateway.process = nil
  gateway.start_ms = now_ms() + soak.random(50, 1500)
end

local function check_memory(soak, gateway)
  local resident_kb = gateway.process:resident_kb()
  gateway.peak_kb = math.max(gateway.peak_kb, resident_kb)
  if resident_kb > kLimitKb and not gateway.life.killed then
    soak:fail("FAULT", string.format("memory %d KB over the limit of %d KB, %s",
                                     resident_kb, kLimitKb,
                                     soak:faults_now()), gateway)
    soak_gateways.kill(gateway)
  end
end

--- Watches a gateway; called in each turn of the soak.
function soak_gateways.turn(soak, gateway)
  if not gateway.process then
    if gateway.start_ms and now_ms() >= gateway.start_ms and not soak.ending then
      soak_gateways.start(gateway)
    end
    return
  end
  local code = gateway.process:exit_code()
  if code then return check_end(soak, gateway, code) end
  if now_ms() >= (gateway.watch_ms or 0) then
    gateway.watch_ms = now_ms() + kWatchMs
    check_memory(soak, gateway)
  end
  local stop_ms = gateway.life.stop_ms
  if stop_ms and now_ms() > stop_ms + kGraceMs and not gateway.life.killed then
    soak:print(gateway.name .. " is killed at the end of its grace period")
    soak_gateways.kill(gateway)
  end
  if soak.slow and not gateway.life.paused then
    local runs = now_ms() % kDutyMs < kDutyRunsMs
    if runs ~= gateway.runs then
      gateway.runs = runs
      if runs then gateway.process:continue() else gateway.process:pause() end
    end
  end
end

return soak_gateways
