-- A stream breaks off, and the next target answers with something else than the
-- rest of it: nothing of that answer reaches the caller, and the stream does not
-- look complete.
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
fleet:use_only{"plain-broken", "engine-broken", "engine-next"}

-- What the next target answers, and whether the stream may be complete then.
local answers = {
  {text = "a signed failure", status = 500, stream = false},
  {text = "a failure", status = 500, signed = false, stream = false},
  {text = "an unsigned success", signed = false},
  {text = "a success that is no stream", stream = false, padding = 20},
  {text = "a failure in the form of a stream", status = 500},
  {text = "half a head", at = "head"},
  {text = "half an event", at = "inside", cut_after = 3},
  {text = "half a success that is no stream", at = "inside", stream = false},
  {text = "a stream that ends with its connection", framing = "close",
   whole = true},
  {text = "the rest", whole = true, complete = true},
  {text = "the rest in chunks", framing = "chunks", whole = true,
   complete = true}}

local failures = {}
for _, reset in ipairs{false, true} do
  for _, next_answer in ipairs(answers) do
    fleet:set_break{id = "engine-broken", framing = "chunks", at = "between",
                    events = kEvents, cut_after = kCutAfter, reset = reset}
    local sent = {id = "engine-next", events = kEvents}
    for field, value in pairs(next_answer) do sent[field] = value end
    -- The events that the target leaves out are not part of its count.
    if sent.cut_after then sent.cut_after = sent.cut_after - kCutAfter end
    fleet:set_break(sent)
    local resumed = false
    for _ = 1, 20 do
      local answer = fleet:request{method = "POST", path = "/answers/1",
                                   body = "prompt",
                                   headers = {Accept = "text/event-stream"}}
      local runs = fleet:own_runs(answer.id)
      if #runs == 2 and runs[1].target == "engine-broken" then
        resumed = true
        local expected = events(next_answer.whole and kEvents or kCutAfter)
        local function check(condition, text)
          if condition then return end
          failures[#failures + 1] = next_answer.text ..
              (reset and ", after a reset: " or ": ") .. text
        end
        check(answer.body == expected or
                  next_answer.at == "inside" and
                  events(kEvents):sub(1, #answer.body) == answer.body,
              "body is " .. answer.body)
        check(answer.complete == (next_answer.complete or false),
              "complete is " .. tostring(answer.complete))
        break
      end
    end
    if not resumed then
      failures[#failures + 1] = next_answer.text .. ": never resumed"
    end
  end
end

fleet:stop()
expect(#failures == 0, table.concat(failures, "\n"))
