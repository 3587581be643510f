-- What a soak knows of its requests and gateways, and the rules that it checks
-- from outside.

local soak_checks = {}
local soak = {}
soak.__index = soak

local kContactMs = 3000
local kUnreadSlackMs = 200
local kEvacuateMs = 5000
local kColdFactor, kColdSlack = 1.5, 5
local kMaxLinesPerRule = 12
local kRefusals = {[408] = true, [421] = true, [429] = true, [503] = true}
local kEvents = "id: 1\ndata: part1\n\nid: 2\ndata: part2\n\n" ..
                    "id: 3\ndata: part3\n\nid: 4\ndata: part4\n\n"

function soak_checks.new(seed)
  local number = 0
  local self = setmetatable({seed = seed, start_ms = now_ms(), failures = {},
                             requests = {}, runs = {}, statuses = {},
                             bad_key = "bad0bad0bad0", crashes = {},
                             gateways = {}}, soak)
  self.random = math.random
  self.next_number = function()
    number = number + 1
    return number
  end
  return self
end

function soak:print(text)
  print(string.format("%8.3f %s", (now_ms() - self.start_ms) / 1000, text))
end

--- Records a broken rule, with its time and what tells which case it is.
function soak:fail(rule, text, gateway)
  self.failures[rule] = (self.failures[rule] or 0) + 1
  if self.failures[rule] > kMaxLinesPerRule then return end
  self:print(string.format("BROKEN %s seed %d%s: %s", rule, self.seed,
                           gateway and ", " .. gateway.name or "", text))
end

function soak:add_request(request) self.requests[request.id] = request end

--- Checks that no work comes to an evacuated data centre, while the store serves
--- all, and that a cold target gets no more than it bears.
function soak:check_room(target, id)
  local now = now_ms()
  if target.zone == "b" and self.evacuated_ms and self.store_is_calm and
      now > self.evacuated_ms + kEvacuateMs then
    self:fail("EVAC", id .. " at " .. target.id .. " after " ..
                  now - self.evacuated_ms .. " ms")
  end
  if not target.cold_until or now > target.cold_until then return end
  local arrivals = target.cold_arrivals
  arrivals[#arrivals + 1] = now
  while arrivals[1] <= now - 1000 do table.remove(arrivals, 1) end
  if #arrivals > kColdFactor * target.cold_per_s + kColdSlack then
    self:fail("FAILBACK", #arrivals .. " in a second at " .. target.id)
  end
end

--- Records a run, and checks that a caller sent just this request.
function soak:record_run(id, request, target)
  local run = self.runs[id]
  if not run then
    run = {count = 0, targets = {}}
    self.runs[id] = run
  end
  self:check_room(target, id)
  run.count = run.count + 1
  run.target, run.at_ms = target, now_ms()
  local sent = self.requests[id]
  if not sent then
    self:fail("UNASKED", "run of an unknown request " .. id .. " " .. request.path)
  elseif not sent.odd then
    local size = sent.body_bytes
    if request.method ~= sent.method or request.path ~= sent.path or
        (request.complete and request.body_bytes ~= size) or not request.filled or
        request.body:sub(1, #id) ~= (size > 0 and id or "") or
        request.headers["x-wisteriadale-key"] then
      self:fail("UNASKED", "a request was changed: " .. id .. " " ..
                    request.method .. " " .. request.path .. " with " ..
                    request.body_bytes .. " of " .. size .. " bytes")
    end
    if sent.unsafe and run.count > 1 then
      self:fail("TWICE", id .. " " .. request.path .. " at " .. target.id)
    end
    if sent.unsafe and sent.refused then
      self:fail("REFUSED", id .. " runs after " .. sent.refused)
    end
  end
  return run
end

--- Records that a request crashed its target. Counts requests that reach targets
--- later than allowed after the third crash.
function soak:crashed(how, id)
  local kind = self.crashes[how] or {count = 0, late = {}, late_count = 0}
  self.crashes[how] = kind
  kind.count = kind.count + 1
  if kind.count == 3 then kind.third_ms = now_ms() end
  local sent = self.requests[id]
  if kind.third_ms and sent and sent.start_ms > kind.third_ms + kContactMs and
      not kind.late[id] and not self:disturbed(sent) then
    kind.late[id] = true
    kind.late_count = kind.late_count + 1
    if kind.late_count == 4 then
      self:fail("BUDGET", "a request that crashes its targets (" .. how ..
                    ") reached them in four late tries, " .. id)
    end
  end
end

--- Returns whether the life of a gateway that took a request was disturbed
--- without plan from the contact time before the request to now.
function soak:disturbed(request)
  local life = request.life
  return life.killed or life.failed or life.paused or
             life.disturbed_ms + kContactMs >= request.start_ms
end

local function describe(request, answer, text)
  local run = request.run_count or 0
  return string.format(
      "%s %s, %s: status %s, %d bytes of %s after %d ms, %d ms after the last " ..
      "byte sent%s, %s runs%s", request.id, request.method .. " " .. request.path,
      text, answer.status, answer.body_bytes,
      answer.headers["content-length"] or "a stream",
      request.end_ms - request.start_ms,
      request.end_ms - (request.sent_ms or request.end_ms),
      request.sent_ms and "" or " (not sent whole)", run,
      request.caller and request.caller.rate and ", reads " ..
          request.caller.rate .. " B/s" or "") ..
      (request.caller and request.caller.halt_ms and ", halts " ..
           request.caller.halt_ms .. " ms" or "")
end

--- Checks a response that is complete.
function soak:judge_answer(request, answer, about)
  local status, headers = answer.status, answer.headers
  self.statuses[status] = (self.statuses[status] or 0) + 1
  local run = self.runs[request.id]
  if headers["x-wisteriadale-request-id"] and
      headers["x-wisteriadale-request-id"] ~= request.id then
    self:fail("MIXED", "answer of another request: " .. about, request.gateway)
  end
  if status == 200 and request.stream then
    if answer.body ~= kEvents and answer.body ~= "ran " .. request.id then
      self:fail("ORDER", "a complete stream of " .. answer.body_bytes ..
                    " bytes: " .. about, request.gateway)
    end
  elseif status == 200 then
    local text = ("ran " .. request.id .. " "):sub(1, request.size)
    local is_own = answer.body_bytes == request.size and answer.filled and
                       answer.body:sub(1, #text) == text
    if not headers["x-wisteriadale-response-signature"] or
        not (is_own or (run and run.other_answer == answer.body)) then
      self:fail("MIXED", "not the target's answer: " .. about, request.gateway)
    end
  elseif kRefusals[status] then
    request.refused = status
    if request.unsafe and run then
      self:fail("REFUSED", "refused and run: " .. about, request.gateway)
    end
  elseif status >= 300 and status < 500 then
    self:fail("DENIED", about, request.gateway)
  end
end

--- Checks how a request ended: "answered", "closed", "reset" or "late".
function soak:judge(request, answer, text)
  local run = self.runs[request.id]
  request.run_count = run and run.count or 0
  local about = describe(request, answer, text)
  if text == "answered" then return self:judge_answer(request, answer, about) end
  self.statuses[text] = (self.statuses[text] or 0) + 1
  if self:disturbed(request) or request.relay_harmed then return end
  if run and (run.broke or (run.target.disturbed_ms or -1) >= run.at_ms) then
    return
  end
  local gateway, life = request.gateway, request.life
  if request.stream and (self.standin_until_ms or -1) + kContactMs > request.start_ms then
    return
  end
  if text == "late" then
    if not life.stop_ms and not self.slow then
      self:fail("CONFIG", "no final answer in time: " .. about, gateway)
    end
    return
  end
  if not request.sent_ms and not answer.status then return end
  local since_sent = request.end_ms - (request.sent_ms or request.end_ms)
  -- A request that crosses the close of its connection has not been accepted.
  if not run and not answer.status and since_sent <= kUnreadSlackMs then return end
  if request.end_ms - request.start_ms - request.extra_ms >= request.timeout_ms then
    return
  end
  if life.stop_ms and request.end_ms > life.stop_ms + gateway.grace_ms * 5 // 6 then
    return
  end
  self:fail("LOST", about, gateway)
end

return soak_checks
