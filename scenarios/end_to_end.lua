-- A pipeline of four stages returns a complete result, as JSON and as a stream,
-- and a booking that is sent twice with one idempotency key through two routers
-- runs once. Guards against incomplete results and against duplicate bookings.
local fleet = require("fleet")

local spans_file = runner.logs() .. "/spans.jsonl"
local agent_spans_file = runner.logs() .. "/agent_spans.jsonl"
local deployment = fleet.start{routers = 2,
                               router = {["/trace/file"] = spans_file},
                               agent = {["/trace/file"] = agent_spans_file}}

local answer = deployment:request("answer", {sketch = "a peacock"})
expect_equal(200, answer.status, "answer: " .. answer.body)
expect(answer.json.complete, "the answer is complete")
expect_equal(4, #answer.json.stages, "number of stages")

local events = deployment:request("answer", {sketch = "a peacock"},
                                  {events = true, router = 2})
expect(events.complete, "the stream is complete")
local text = ""
for data in events.body:gmatch("event: token\ndata: ([^\n]*)\n\n") do
  text = text .. decode(data).text
end
local last = decode(events.body:match("event: complete\ndata: ([^\n]*)\n\n$"))
expect(last.complete, "the last event marks the answer complete")
expect_equal(last.result, text, "streamed text")
expect_equal(answer.json.result, text, "the same text through both routers")

-- The router that answered also returns the answer by the request's id.
local function look_up(id, api_key)
  return http{port = deployment.router_ports[2], path = "/v1/requests/" .. id,
              headers = {authorization = "Bearer " .. api_key}}
end
local accepted = decode(events.body:match("event: accepted\ndata: ([^\n]*)\n\n"))
local again = look_up(accepted.request_id, fleet.api_key)
expect_equal(200, again.status, "lookup by id: " .. again.body)
expect_equal(text, again.json.result, "the same answer")
expect_equal(401, look_up(accepted.request_id, "wrong").status, "wrong API key")
expect_equal(404, look_up("nothing", fleet.api_key).status, "unknown id")

local order = {frame = "cone", count = 2}
local first = deployment:request("booking", order, {key = "order-1"})
expect_equal(200, first.status, "first booking: " .. first.body)
local second = deployment:request("booking", order,
                                  {key = "order-1", router = 2})
expect_equal(200, second.status, "second booking: " .. second.body)
expect_equal(encode(first.json.result), encode(second.json.result),
             "both callers get the same result")
expect_equal(1, deployment:run_count("order-1"), "runs in the ledger")

local concurrent = {}
for i = 1, 6 do
  concurrent[i] = deployment:send("booking", order,
                                {key = "order-2", router = 1 + i % 2})
end
for i = 1, 6 do
  expect_equal(200, concurrent[i]:wait().status, "concurrent booking")
end
expect_equal(1, deployment:run_count("order-2"),
             "runs of the concurrent bookings")

local other = deployment:request("booking", {frame = "spiral"},
                                 {key = "order-1"})
expect_equal(422, other.status, "the same key with another body")
expect_equal(1, deployment:run_count("order-1"), "runs after the refused body")

deployment:stop()

-- The trace file holds the spans of a request and of its attempts, as OTLP JSON
-- lines.
local spans = {}
for line in io.lines(spans_file) do
  local document = decode(line)
  for _, span in ipairs(document.resourceSpans[1].scopeSpans[1].spans) do
    spans[#spans + 1] = span
  end
end
local root
for _, span in ipairs(spans) do
  if span.name == "request answer" then root = span end
end
expect(root, "span of the request")
local attempts = 0
for _, span in ipairs(spans) do
  if span.parentSpanId == root.spanId then attempts = attempts + 1 end
end
expect(attempts >= 4, "a child span for each stage, found " .. attempts)

-- The spans of the agents' calls to their targets belong to the same traces.
local traces, calls = {}, 0
for _, span in ipairs(spans) do traces[span.traceId] = true end
for line in io.lines(agent_spans_file) do
  local document = decode(line)
  for _, span in ipairs(document.resourceSpans[1].scopeSpans[1].spans) do
    if traces[span.traceId] then calls = calls + 1 end
  end
end
expect(calls >= 4, "a span for each call to a target, found " .. calls)
