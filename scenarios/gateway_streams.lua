-- Events are relayed as they arrive. A broken stream is resumed at another
-- target if its route allows it, and never looks complete otherwise.
local gateways = require("gateways")
local fleet = gateways.start{}

local function stream(path, more)
  local options = more or {}
  options.method, options.path, options.body = "POST", path, "prompt"
  options.headers = options.headers or {}
  options.headers.Accept = "text/event-stream"
  return fleet:request(options)
end
local function events(count, from)
  local text = ""
  for number = from or 1, count do
    text = text .. "id: " .. number .. "\ndata: part" .. number .. "\n\n"
  end
  return text
end

local whole = stream("/notes/1")
expect(whole.complete, "stream is complete")
expect_equal(events(4), whole.body, "all events")

-- A resumable stream that breaks within an event is resumed after the last
-- complete one; the caller sees a single response.
fleet:set_behaviour{id = "engine-1", how = "cut", cut_after = 2}
for _ = 1, 6 do
  local answer = stream("/answers/1")
  expect(answer.complete, "resumed stream is complete")
  expect_equal(events(4), answer.body, "each event exactly once")
end
local resumed = 0
for _, run in ipairs(fleet:runs()) do
  if run.headers["last-event-id"] == "2" then resumed = resumed + 1 end
end
expect(resumed > 0, "resumed after event 2")

-- The caller notices when a stream breaks that may not be resumed.
fleet:set_behaviour{service = "engine", how = "cut", cut_after = 2}
local cut = stream("/notes/2")
expect(cut.closed and not cut.complete, "a broken stream does not look complete")
expect_equal(1, #fleet:own_runs(cut.id), "ran once")

-- A stream that ends within an event was broken off, though its framing is
-- whole.
fleet:set_behaviour{service = "engine", how = "half", cut_after = 2}
local half = stream("/notes/4")
expect(half.closed and not half.complete, "half an event is not an end")
expect_equal(events(2), half.body, "no part of the broken event")
fleet:set_behaviour{service = "engine"}
fleet:set_behaviour{id = "engine-1", how = "half", cut_after = 2}
for _ = 1, 4 do
  local answer = stream("/answers/4")
  expect(answer.complete, "stream continues at another target")
  expect_equal(events(4), answer.body, "each event exactly once")
end

-- An event without end is given up long before the route's timeout.
fleet:set_behaviour{service = "engine"}
fleet:set_behaviour{id = "engine-1", how = "endless", event_ms = 1}
for _ = 1, 4 do
  local started = runner.now_ms()
  local answer = stream("/answers/5")
  expect(answer.complete, "stream continues at another target")
  expect_equal(events(4), answer.body, "nothing of the endless event")
  expect(runner.now_ms() - started < 1500, "given up early")
end

-- A resumption by the caller itself is forwarded.
fleet:set_behaviour{service = "engine"}
local continued = stream("/answers/2", {headers = {["Last-Event-Id"] = "2"}})
expect_equal(events(4, 3), continued.body, "only the events after event 2")

-- A disconnected caller is noticed and its stream cancelled.
fleet:set_behaviour{service = "engine", events = 10000, event_ms = 5}
local socket = connect(fleet.all[1].callers)
socket:send(gateways.bytes{method = "POST", path = "/notes/3", body = "x",
                           headers = {Accept = "text/event-stream"}})
socket:wait_for("part3", 5000)
socket:close()
local function metric(name)
  local text = http{port = fleet.all[1].operators, path = "/metrics"}.body
  return tonumber(text:match(name .. " (%d+)")) or 0
end
wait_until(function() return metric("wisteria_callers_left_total") > 0 end, 500,
           "the disconnect is counted")

fleet:stop()
