-- Each bad input has its code, none stops a process, and a request beside it is
-- not touched.
local fleet = require("fleet")

local kMaxBody = 4096

local deployment = fleet.start{
  routers = 1, router = {["/http/max_body_bytes"] = kMaxBody}}
local port = deployment.router_ports[1]

local function expect_error(answer, status, name)
  expect_equal(status, answer.status, name .. ": " .. answer.body)
  expect_equal(name, answer.json.error.name, "name")
  expect_equal("not_run", answer.json.error.outcome, "outcome of " .. name)
  expect_equal(false, answer.json.complete, "not a whole answer")
end

--- Expects that an ordinary request still works.
local function expect_serving(text)
  local answer = deployment:ask("lookup", {item = "cone"})
  expect_equal(200, answer.status, "lookup after " .. text)
end

expect_error(deployment:ask("lookup", "{\"cut"), 400, "malformed_json")
expect_error(deployment:ask("lookup", ""), 400, "malformed_json")
expect_error(deployment:ask("lookup", string.rep("x", kMaxBody + 1)), 413,
             "body_too_large")
expect_error(deployment:ask("booking", {}), 400, "missing_idempotency_key")
expect_error(deployment:ask("booking", {}, {key = string.rep("k", 300)}), 400,
             "missing_idempotency_key")
expect_error(deployment:ask("nothing", {}), 404, "unknown_pipeline")
expect_error(deployment:ask("lookup", {}, {api_key = "wrong"}), 401,
             "unauthorised")
for _, deadline in ipairs{"0", "-5", "99999999999", "soon", "1.5"} do
  expect_error(deployment:ask("lookup", {}, {
    headers = {["request-timeout-ms"] = deadline}}), 400, "bad_deadline")
end
expect_error(http{port = port, path = "/v1/pipelines/lookup/requests"}, 405,
             "method_not_allowed")
expect_error(http{port = port, path = "/nowhere"}, 404, "not_found")
expect_serving("errors of single requests")

deployment:expect_running()
deployment:stop()
