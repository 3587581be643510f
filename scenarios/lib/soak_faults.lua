-- Faults of a soak. Each has a name and a function that injects it once, and
-- schedules its end with soak:later.

local paced_output = require("paced_output")
local soak_callers = require("soak_callers")
local soak_gateways = require("soak_gateways")
local soak_odd_callers = require("soak_odd_callers")
local soak_targets = require("soak_targets")

local soak_faults = {}

local function pick_running(soak)
  local gateway = soak.gateways[soak.random(#soak.gateways)]
  if gateway.process and not gateway.life.expected then return gateway end
end

local function with_gateway(action)
  return function(soak)
    local gateway = pick_running(soak)
    if gateway then action(soak, gateway) end
  end
end

local function pick_target(soak) return soak.targets[soak.random(#soak.targets)] end

local function relay_fault(soak, through, harmed)
  local kind = soak.random(5)
  harmed()
  if kind == 1 then through:cut()
  elseif kind == 2 then through:reset()
  elseif kind == 3 then
    through:silence(({"both", "to_server", "to_client"})[soak.random(3)])
  elseif kind == 4 then
    through:refuse()
    soak:later(soak.random(200, 2000), function()
      through:accept()
      harmed()
    end)
  else
    through:pace(soak.random(2000, 100000))
    soak:later(soak.random(500, 4000), function()
      through:pace(0)
      harmed()
    end)
  end
end

-- The first faults of the list end, signal or pause gateways.
local kProcessFaults = 7
soak_faults.all = {
  {"term", with_gateway(function(_, gateway) soak_gateways.stop(gateway) end)},
  {"term_of_long_answers", with_gateway(function(soak, gateway)
    for _ = 1, 4 do
      soak_callers.read_long_answer(soak, gateway, soak.random(4000000, 7500000),
                                    1000000)
    end
    local life = gateway.life
    soak:later(soak.random(300, 1000), function()
      if gateway.life == life then soak_gateways.stop(gateway) end
    end)
  end)},
  {"reload", with_gateway(function(_, gateway) gateway.process:reload() end)},
  {"reload_burst", with_gateway(function(soak, gateway)
    for number = 1, 20 do
      local process = gateway.process
      soak:later(number * soak.random(1, 10), function() process:reload() end)
    end
  end)},
  {"signal_at_start", with_gateway(function(soak, gateway)
    soak_gateways.kill(gateway)
    gateway.process:wait()
    soak_gateways.start(gateway)
    -- Before main no program can handle a signal.
    wait_until(function() return gateway.process:has_sockets() end)
    runner.pump(soak.random(1, 20))
    if soak.random(3) == 1 then soak_gateways.stop(gateway)
    else gateway.process:reload() end
  end)},
  {"kill", with_gateway(function(_, gateway) soak_gateways.kill(gateway) end)},
  {"pause", with_gateway(function(soak, gateway)
    if gateway.life.paused or gateway.life.stop_ms then return end
    soak_gateways.pause(gateway)
    local process = gateway.process
    soak:later(soak.random(100, 4000), function()
      if gateway.process == process then soak_gateways.continue(gateway) end
    end)
  end)},
  {"caller_relay", with_gateway(function(soak, gateway)
    relay_fault(soak, gateway.relay, function()
      gateway.relay_harmed_ms = now_ms()
    end)
  end)},
  {"store_relay", function(soak)
    relay_fault(soak, soak.store_relay, function() end)
  end},
  {"store", function(soak)
    local how = ({"busy", "silent", "lose", "", ""})[soak.random(5)]
    soak.fleet:control("store", {how = how, delay_ms = how == "" and
                                     soak.random(50, 2000) or 0,
                                 forgotten = soak.random(4) == 1})
    soak:later(soak.random(200, 4000), function()
      soak.fleet:control("store", {how = ""})
    end)
  end},
  {"store_odd", function(soak)
    soak.odd_store.mode =
        soak_targets.odd_names[soak.random(#soak_targets.odd_names)]
    soak.store_relay:redirect(soak.odd_store.port)
    soak.store_relay:cut()
    soak:later(soak.random(500, 8000), function()
      soak.store_relay:redirect(soak.fleet.store_port)
      soak.store_relay:cut()
    end)
  end},
  {"store_restored", function(soak)
    soak.fleet:take_copy()
    soak:later(soak.random(500, 3000), function()
      soak.fleet:control("copy", {restore = true})
    end)
  end},
  {"standin_pause", function(soak)
    if soak.standin_paused then return end
    soak.standin_paused, soak.standin_until_ms = true, now_ms() + 3000
    soak.fleet.standin:pause()
    soak:later(soak.random(100, 2500), function()
      soak.standin_paused = false
      soak.fleet.standin:continue()
    end)
  end},
  {"configuration", function(soak)
    for _ = 1, soak.random(1, 4) do
      soak.version = soak.version + 1
      soak.fleet:configure(soak_gateways.document(soak.version))
    end
  end},
  {"target_crash", function(soak)
    local target = pick_target(soak)
    if target.acceptor then target:crash(soak.random(100, 4000)) end
  end},
  {"target_freeze", function(soak)
    local target = pick_target(soak)
    target.frozen = true
    target:disturb()
    soak:later(soak.random(100, 4000), function()
      target.frozen = false
      target:disturb()
    end)
  end},
  {"target_relay", function(soak)
    local target = pick_target(soak)
    relay_fault(soak, target.relay, function() target:disturb() end)
  end},
  {"target_slow", function(soak)
    local target = pick_target(soak)
    target.read_rate = soak.random(20000, 500000)
    target.work_ms = soak.random(10, 700)
    soak:later(soak.random(1000, 5000), function()
      target.read_rate, target.work_ms = nil, 10
    end)
  end},
  {"target_leaves", function(soak)
    local target = pick_target(soak)
    if target.acceptor then
      soak.fleet:remove_target(target)
      soak:later(500, function()
        if target.acceptor then target:crash(soak.random(500, 2000)) end
      end)
    end
  end},
  {"engine", function(soak)
    local how = ({"shed", "fail", "lose", "mute", "cut", "half", "unsigned",
                  "foreign", "copy"})[soak.random(9)]
    local service = ({"engine", "first", "second"})[soak.random(3)]
    soak.fleet:set_behaviour{id = service .. "-" .. soak.random(2), how = how}
    local time_ms = soak.random(500, 4000)
    soak.standin_until_ms = now_ms() + time_ms
    soak:later(time_ms, function() soak.fleet:set_behaviour{how = ""} end)
  end}}

-- Faults that seeds draw beside the others, and that can be named.
soak_faults.more = {
  {"evacuate", function(soak)
    if soak.evacuated_ms then return end
    soak.evacuated_ms = now_ms()
    soak.fleet:control("rows", {table = "op", key = "evacuate/b", value = {}})
    soak:later(soak.random(6500, 9000), function()
      soak.evacuated_ms = nil
      soak.fleet:control("rows", {table = "op", key = "evacuate/b"})
    end)
  end},
  {"cold_return", function(soak)
    for _, target in ipairs(soak.targets) do
      if target.zone == "b" and target.acceptor then
        target.returns_cold = true
        target:crash(1500)
      end
    end
  end}}

for _, name in ipairs(soak_targets.odd_names) do
  soak_faults.all[#soak_faults.all + 1] = {"target_" .. name, function(soak)
    local target = pick_target(soak)
    target.mode = name
    soak:later(soak.random(500, 4000), function() target.mode = nil end)
  end, "target_odd"}
end
for _, kind in ipairs(soak_odd_callers.kinds) do
  soak_faults.all[#soak_faults.all + 1] = {"caller_" .. kind[1], kind[2],
                                           "caller_odd"}
end

--- Sends a request that crashes its targets, or silences them, again and again.
local kRepeated = {
  crash = {path = "/quick/1?how=crash"}, dark = {path = "/quick/1?how=dark"},
  piece = {path = "/crafts/1", method = "POST",
           headers = {["X-Wisteriadale-Pieces"] = "2",
                      Accept = "text/event-stream"}}}
local function add_repeated(how)
  soak_faults.all[#soak_faults.all + 1] = {"repeated_" .. how, function(soak)
    if soak.repeating then return end
    soak.repeating = how
    local function again()
      local gateway = soak:pick_gateway()
      if gateway then
        local wanted = kRepeated[how]
        local request = {id = string.format("%016x", soak.next_number()),
                         method = wanted.method or "GET", path = wanted.path,
                         headers = {}, body_bytes = 0, odd = true,
                         gateway = gateway, life = gateway.life,
                         start_ms = now_ms()}
        for name, value in pairs(wanted.headers or {}) do
          request.headers[name] = value
        end
        request.headers["X-Wisteriadale-Piece-Key"] = soak.bad_key
        soak:add_request(request)
        local opened, socket = pcall(connect, gateway.callers)
        if opened then
          local peer = soak_odd_callers.add(
              soak, {socket = socket, out = paced_output.new(socket),
                     gateway = gateway, end_ms = now_ms() + 3000, reads = true})
          peer.out:add((soak_callers.bytes(request)))
        end
      end
      soak:later(2500, again)
    end
    again()
  end, "repeated", at_start = true}
end
for _, how in ipairs{"crash", "dark", "piece"} do add_repeated(how) end

--- Chooses the faults of a seed: one that ends or signals gateways, and others; of
--- each group of odd peers at most one kind.
function soak_faults.choose(random, count)
  local chosen, groups = {soak_faults.all[random(kProcessFaults)]}, {}
  groups[chosen[1][1]] = true
  while #chosen < count do
    local fault = soak_faults.all[random(#soak_faults.all)]
    local group = fault[3] or fault[1]
    if not groups[group] then
      groups[group] = true
      chosen[#chosen + 1] = fault
    end
  end
  if random(2) == 1 then
    chosen[#chosen + 1] = soak_faults.more[random(#soak_faults.more)]
  end
  return chosen
end

--- Returns the faults with these names, separated by commas.
function soak_faults.by_name(names)
  local found = {}
  for name in names:gmatch("[^,]+") do
    for _, list in ipairs{soak_faults.all, soak_faults.more} do
      for _, fault in ipairs(list) do
        if fault[1] == name then found[#found + 1] = fault end
      end
    end
  end
  return found
end

return soak_faults
