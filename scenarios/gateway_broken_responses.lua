-- A response that breaks off at its target never reaches its caller framed as
-- complete: each place where it can break off, by each framing, closed or reset.
local gateways = require("gateways")
local fleet = gateways.start{broken = true}
local kEvents, kCutAfter = 4, 2

local function events(count)
  local text = ""
  for number = 1, count do
    text = text .. "id: " .. number .. "\ndata: part" .. number .. "\n\n"
  end
  return text
end

fleet:use_only{"plain-broken", "engine-broken"}

local failures = {}
local function check(condition, cell, text)
  if not condition then failures[#failures + 1] = cell .. ": " .. text end
end

--- Returns whether a break leaves a response that may be complete: any part of
--- a body that ends with its connection does, unless that is within an event.
local function may_be_complete(break_at, stream)
  return break_at.framing == "close" and not break_at.reset and
             break_at.at ~= "head" and not (stream and break_at.at == "inside")
end

local function request(path, stream, cell, break_at)
  local options = {method = "POST", path = path, body = "prompt"}
  if stream then options.headers = {Accept = "text/event-stream"} end
  local answer = fleet:request(options)
  local whole = stream and events(kEvents) or "ran prompt"
  if answer.status ~= 200 then
    local cut = answer.status == 0 and answer.closed
    check(cut or answer.status == 502, cell, "status " .. answer.status)
    return answer
  end
  check(not (answer.complete and answer.body ~= whole), cell,
        "a short body framed as complete: " .. #answer.body .. " bytes")
  if answer.framing == "close" and not answer.reset then
    check(may_be_complete(break_at, stream), cell,
          "closed in order, though the target broke off")
  elseif answer.complete then
    check(not may_be_complete(break_at, stream), cell,
          "framed as complete, which the target did not say")
  end
  check(whole:sub(1, #answer.body) == answer.body, cell, "another body")
  return answer
end

for _, framing in ipairs{"length", "chunks", "close"} do
  for _, at in ipairs{"head", "start", "inside", "between", "end", "trailer"} do
    for _, reset in ipairs{false, true} do
      for _, first in ipairs{0, 1} do
        local break_at = {framing = framing, at = at, reset = reset,
                          events = kEvents, cut_after = kCutAfter,
                          whole_first = first}
        local cell = framing .. ", " .. at .. ", " ..
                         (reset and "reset" or "closed") .. ", " ..
                         (first == 0 and "first" or "second") .. " response"
        local possible = at ~= "trailer" or framing == "chunks"
        for _, kind in ipairs(possible and {"/notes/1", "/stock/1",
                                            "/orders/1"} or {}) do
          local stream = kind == "/notes/1"
          local service = stream and "engine" or "plain"
          if stream or at ~= "between" then
            break_at.id = service .. "-broken"
            fleet:set_break(break_at)
            if first == 1 then
              local answer = fleet:request{
                method = "POST", path = kind, body = "prompt",
                headers = stream and {Accept = "text/event-stream"} or nil}
              check(answer.status == 200 and
                        answer.body == (stream and events(kEvents) or
                                            "ran prompt"),
                    cell .. " " .. kind, "the response before is whole")
            end
            request(kind, stream, cell .. " " .. kind, break_at)
          end
        end
      end
    end
  end
end

-- A gateway that dies within a response that ends with its connection resets it.
fleet:set_break{id = "engine-broken", framing = "close", end_ms = 60000}
local socket = connect(fleet.all[1].callers)
socket:send(gateways.bytes{method = "POST", path = "/notes/1", body = "x",
                           headers = {Accept = "text/event-stream"}})
socket:wait_for("part" .. kEvents, 5000)
fleet.all[1].process:kill()
socket:wait_closed(5000)
check(socket.reset, "killed gateway", "closed in order")

fleet:stop()
expect(#failures == 0, #failures .. " cells:\n" .. table.concat(failures, "\n"))
