-- Load on gateways, and checks of the request limits that targets name.

local gateways = require("gateways")

local limits = {}

-- The stated bound: from this long after a target first named a limit, a window
-- of 4 s holds at most one and a half times what the limit allows, and 5 more.
local kContactMs = 3000
local kWindowMs = 4000
local kFactor = 1.5
local kSlack = 5

--- Sends requests to the running gateways in turn, one each gap_ms, for
--- time_ms, without waiting for responses. Options: gap_ms, time_ms, request (a
--- function that returns the options of gateways.bytes), at (functions by
--- request number, called before that request). Returns for each request its
--- id, status (0: no response), headers, and the time until the response.
function limits.load(fleet, options)
  local sent = {}
  local function read_all()
    for _, each in ipairs(sent) do
      if not each.answer then
        local answer = gateways.parse(each.socket:read())
        if answer and answer.complete then
          each.answer, each.took_ms = answer, now_ms() - each.at_ms
          each.socket:close()
        end
      end
    end
  end
  local start_ms, number = now_ms(), 0
  while now_ms() - start_ms < options.time_ms do
    if number * options.gap_ms <= now_ms() - start_ms then
      number = number + 1
      local action = options.at and options.at[number]
      if action then action() end
      local running = {}
      for _, gateway in ipairs(fleet.all) do
        if gateway.process:running() and not gateway.paused then
          running[#running + 1] = gateway
        end
      end
      local gateway = running[number % #running + 1]
      local id = gateways.new_id()
      local request = options.request(number)
      request.id = id
      local opened, socket = pcall(connect, gateway.callers)
      if opened then
        socket:send(gateways.bytes(request))
        sent[#sent + 1] = {id = id, socket = socket, at_ms = now_ms(),
                           gateway = gateway}
      end
    end
    read_all()
    runner.pump(2)
  end
  local limit_ms = now_ms() + 3500
  while now_ms() < limit_ms do
    read_all()
    runner.pump(5)
  end
  for _, each in ipairs(sent) do
    each.status = each.answer and each.answer.status or 0
    each.headers = each.answer and each.answer.headers or {}
  end
  return sent
end

--- Returns the arrival times of calls at a target, in order, in milliseconds of
--- the stand-in's clock. Releases of stage results are left out.
function limits.arrivals(fleet, target)
  return fleet:control("arrivals").json[target] or {}
end

--- Checks that a target that named a limit in all of its responses got no more
--- than the bound, in any window. Options: from_ms and to_ms, on the stand-in's
--- clock, narrow the time that is checked; without from_ms it begins kContactMs
--- after the first arrival.
function limits.expect_bound(fleet, target, per_second, options)
  options = options or {}
  local times = limits.arrivals(fleet, target)
  local from_ms = options.from_ms or (times[1] or 0) + kContactMs
  local to_ms = options.to_ms or math.huge
  local allowed = kFactor * per_second * kWindowMs / 1000 + kSlack
  local first = 1
  for last, at_ms in ipairs(times) do
    while times[first] < from_ms or times[first] <= at_ms - kWindowMs do
      if first == last then break end
      first = first + 1
    end
    if times[first] >= from_ms and at_ms <= to_ms then
      local count = last - first + 1
      expect(count <= allowed, target .. " got " .. count ..
             " requests in a window, allowed " .. allowed)
    end
  end
end

--- Returns how many calls arrived at a target between two times.
function limits.count(fleet, target, from_ms, to_ms)
  local count = 0
  for _, at_ms in ipairs(limits.arrivals(fleet, target)) do
    if at_ms >= from_ms and at_ms < (to_ms or math.huge) then
      count = count + 1
    end
  end
  return count
end

--- Returns the number of responses with a status.
function limits.count_status(sent, status)
  local count = 0
  for _, each in ipairs(sent) do
    if each.status == status then count = count + 1 end
  end
  return count
end

--- Returns the time of the latest arrival at any target.
function limits.now_ms(fleet)
  local latest = 0
  for _, times in pairs(fleet:control("arrivals").json) do
    latest = math.max(latest, times[#times])
  end
  return latest
end

return limits
