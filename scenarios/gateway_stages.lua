-- Each stage of a request runs exactly once over all gateways, all results reach
-- the engine, and they are released afterwards.
local gateways = require("gateways")
local fleet = gateways.start{count = 2}

local function draft(gateway, pieces)
  return fleet:request{method = "POST", path = "/drafts/1", body = "x",
                       gateway = gateway,
                       headers = {Accept = "text/event-stream",
                                  ["X-Wisteriadale-Pieces"] = pieces or "2,3",
                                  ["X-Wisteriadale-Piece-Key"] = "key-1"}}
end
local function pieces_of(id)
  local made = {}
  for _, run in ipairs(fleet:runs(id)) do
    if run.path == "/v1/stage-run" then
      for _, item in ipairs(decode(run.body).items) do
        if item.id == id then
          local name = item.stage .. "/" .. item.piece
          made[name] = (made[name] or 0) + 1
          made.last = item
        end
      end
    end
  end
  return made
end
local function inputs_of(id)
  local list = fleet:own_runs(id)[1].headers["x-wisteriadale-inputs"] or ""
  return select(2, list:gsub("[^,]+", ""))
end

for number = 1, 6 do
  local answer = draft(fleet.all[1 + number % 2])
  expect(answer.complete and answer.status == 200, "completed: " .. answer.body)
  local made = pieces_of(answer.id)
  for _, name in ipairs{"0/0", "0/1", "1/0", "1/1", "1/2"} do
    expect_equal(1, made[name], "piece " .. name)
  end
  expect_equal(2, #made.last.inputs, "inputs from all previous pieces")
  expect_equal(3, inputs_of(answer.id), "results passed to the engine")
end
-- The first or the last stage may be skipped.
for _, counts in ipairs{"0,3", "2,0"} do
  local part = draft(nil, counts)
  expect_equal(200, part.status, "stages " .. counts)
  expect_equal(counts == "0,3" and 3 or 2, inputs_of(part.id),
               "results for the engine of stages " .. counts)
end
local no_stages = draft(nil, "0,0")
expect_equal(200, no_stages.status, "all stages skipped")
expect_equal(0, inputs_of(no_stages.id), "no results for the engine")

wait_until(function()
  local released = 0
  for _, run in ipairs(fleet:runs()) do
    if run.path == "/v1/stage-free" then
      released = released + #decode(run.body).handles
    end
  end
  return released >= 30
end, 3000, "results are released")

-- The queues keep nothing of requests that have ended.
wait_until(function()
  local gauges = 0
  for _, gateway in ipairs(fleet.all) do
    local text = http{port = gateway.operators, path = "/metrics"}.body
    for value in text:gmatch("wisteria_stage_jobs{[^}]*} (%d+)") do
      if value ~= "0" then return false end
      gauges = gauges + 1
    end
  end
  return gauges > 0
end, 1000, "no job is kept")

-- After a route's timeout is shortened, first requests are not mistaken for
-- retries of callers that already waited, which would be admitted late.
local function admitted_late()
  local metrics = http{port = fleet.all[1].operators, path = "/metrics"}.body
  return tonumber(metrics:match("wisteria_requests_late_total (%d+)")) or 0
end
local function patient()
  return fleet:request{method = "POST", path = "/drafts/1", body = "x",
                       headers = {Accept = "text/event-stream",
                                  ["X-Wisteriadale-Deadline-Ms"] = "2900",
                                  ["X-Wisteriadale-Pieces"] = "2,3",
                                  ["X-Wisteriadale-Piece-Key"] = "key-1"}}
end
expect_equal(200, patient().status, "a first request")
fleet:configure(gateways.document(20, function(document)
  for _, route in ipairs(document.routes) do route["timeout-ms"] = 1500 end
end))
runner.pump(1500)
expect_equal(200, patient().status, "a first request with the shorter timeout")
expect_equal(0, admitted_late(), "admitted in time")

-- The pieces of a target that drops its connections run on other targets.
fleet:set_behaviour{id = "first-1", how = "lose"}
for _ = 1, 4 do expect_equal(200, draft().status, "while a target fails") end
fleet:set_behaviour{service = "first"}

-- A gateway on a small VM owns no queue, but its requests are served.
local small = fleet:add{["/capacity/cores"] = 0.1}
fleet:wait_for_status(small.operators, "/readyz", 200)
local function metrics(of)
  return http{port = of.operators, path = "/metrics"}.body
end
wait_until(function()
  return metrics(small):find("wisteria_gateways_linked 2", 1, true)
end, 3000, "all gateways are linked")
for _ = 1, 4 do expect_equal(200, draft(small).status, "at the small VM") end
expect(not metrics(small):find("wisteria_stage_calls_total", 1, true),
       "the small VM runs no pieces")

-- The gateway that owns the queues dies while jobs are queued there.
fleet:set_behaviour{service = "second", work_ms = 200}
local open = {}
for number = 1, 2 do
  open[number] = connect(fleet.all[1].callers)
  open[number]:send(gateways.bytes{
    method = "POST", path = "/drafts/1", body = "x",
    headers = {Accept = "text/event-stream", ["X-Wisteriadale-Pieces"] = "1,1",
               ["X-Wisteriadale-Piece-Key"] = "key-1"}})
end
runner.pump(150)
fleet.all[2].process:kill()
for number = 1, 2 do
  wait_until(function()
    local answer = gateways.parse(open[number]:read())
    return answer and answer.complete and answer.status == 200
  end, 6000, "completed although the queue owner died")
end

fleet:stop()
