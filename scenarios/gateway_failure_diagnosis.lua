-- Follows the three ways that docs/OPERATIONS.md describes to find the cause of
-- a failed request from its id in the event log.
local gateways = require("gateways")
local fleet = gateways.start{}
local gateway = fleet.all[1]
local event = gateways.event

local function draft(id)
  return gateways.bytes{method = "POST", path = "/drafts/1", body = "x", id = id,
                        headers = {Accept = "text/event-stream",
                                   ["X-Wisteriadale-Pieces"] = "2,8",
                                   ["X-Wisteriadale-Piece-Key"] = "key-1",
                                   ["X-Wisteriadale-Deadline-Ms"] = "1500"}}
end
local function routed(lines)
  local line = event(lines, "routed")
  expect(line, "the request was routed")
  return line
end

-- Refused under load: the event of the refusal holds the latency estimates.
fleet:set_behaviour{service = "second", work_ms = 250}
local open, refused = {}, nil
for _ = 1, 80 do
  local id = gateways.new_id()
  open[#open + 1] = connect(gateway.callers)
  open[#open]:send(draft(id))
  runner.pump(12)
  local answer = gateways.parse(open[#open]:read())
  if answer and answer.status == 503 then refused = id break end
end
expect(refused, "a request is refused under load")
local lines = fleet:log_lines(gateway, refused)
expect_equal(10, routed(lines).version, "version of the routes")
-- Refused on arrival, or admitted late and expired in its queue.
local refusal = event(lines, "refused")
local decided = refusal or event(lines, "admitted_late")
expect(decided, "the event with the estimates")
-- The objective of 1,000 ms, minus the admission margin of 80 ms and the
-- engine's 60 ms.
expect(decided.estimate_ms >= 860, "estimate that misses the objective: " ..
           decided.estimate_ms)
if refusal then
  expect(refusal.return_after_ms > 0, "Retry-After")
else
  expect(event(lines, "stage_ended").late, "the stage expired")
end
local answered = event(lines, "answered")
expect_equal(503, answered.status, "status of the response")
expect_equal("draft", answered.route, "route")
expect_equal(false, answered.may_have_run, "not run")
for _, socket in ipairs(open) do socket:close() end

-- Failed midway at a target: the event of the attempt names it.
fleet:set_behaviour{service = "engine", how = "cut", cut_after = 1}
local cut = fleet:request{method = "POST", path = "/notes/1", body = "x",
                          headers = {Accept = "text/event-stream"}}
lines = fleet:log_lines(gateway, cut.id)
routed(lines)
local sent, ended = event(lines, "sent"), event(lines, "attempt_ended")
expect_equal(sent.target, ended.target, "the target that broke the connection")
expect_equal("lost", ended["end"], "outcome of the attempt")
expect_equal(true, ended.may_have_run, "may have run")
expect_equal("cut", event(lines, "answered").outcome, "outcome for the caller")

-- Lost when the gateway's VM died: the events of the request just end, and the
-- process starts again.
fleet:set_behaviour{service = "engine", events = 1000, event_ms = 20}
local id = gateways.new_id()
local socket = connect(gateway.callers)
socket:send(gateways.bytes{method = "POST", path = "/notes/2", body = "x",
                           id = id, headers = {Accept = "text/event-stream"}})
socket:wait_for("part2", 3000)
gateway.process:kill()
gateway.process:wait(3000)
lines = fleet:log_lines(gateway, id)
expect(event(lines, "sent").target, "target that ran it")
expect_equal(nil, event(lines, "answered"), "no event of the end")
expect_equal(nil, event(fleet:log_lines(gateway), "stopping"),
             "no graceful stop")
gateway.process = start("wisteria-gateway", gateway.settings)
fleet:wait_for_status(gateway.operators, "/readyz", 200)
expect(event(fleet:log_lines(gateway), "started"), "event of the next start")

fleet:stop()
