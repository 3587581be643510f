-- Guards against requests that run twice: a target's own 503 (or 408, 429)
-- without the statement that it did not run the request was handed on, and
-- callers took it for the promise that they may send the request again.
local gateways = require("gateways")
local kLargeBytes = 2000000
local fleet = gateways.start()

local kOnce = {
  book = {method = "POST", path = "/orders/1", body = "x"},
  book_head = {method = "HEAD", path = "/orders/1"},
  note = {method = "POST", path = "/notes/1", body = "x",
          headers = {Accept = "text/event-stream"}},
  draft = {method = "POST", path = "/drafts/1", body = "x",
           headers = {Accept = "text/event-stream",
                      ["X-Wisteriadale-Pieces"] = "2,2",
                      ["X-Wisteriadale-Piece-Key"] = "ab"}}}
local kRepeatable = {
  look = {path = "/stock/1"},
  answer = {method = "POST", path = "/answers/1", body = "x",
            headers = {Accept = "text/event-stream"}}}

local function send(kind)
  local options = {id = gateways.new_id()}
  for field, value in pairs(kind) do options[field] = value end
  local bytes = gateways.bytes(options)
  local socket = connect(fleet.all[1].callers)
  socket:send(bytes)
  local answer
  wait_until(function()
    answer = gateways.parse(socket:read())
    return answer and (answer.complete or options.method == "HEAD")
  end, 5000, "a response")
  socket:close()
  answer.id = options.id
  return answer
end

for _, status in ipairs{503, 408, 429, 500} do
  for _, padding in ipairs{0, kLargeBytes} do
    for _, service in ipairs{"plain", "engine"} do
      fleet:set_behaviour{service = service, how = "fail", status = status,
                          padding = padding, headers = {"Retry-After", "0.01"}}
    end
    local expected = status == 500 and 500 or 502
    for name, kind in pairs(kOnce) do
      local text = name .. ", " .. status .. " with " .. padding .. " bytes"
      local answer = send(kind)
      expect_equal(1, #fleet:own_runs(answer.id), text .. " ran")
      expect_equal(expected, answer.status, text)
      if expected == 502 then
        for _, header in ipairs{"x-wisteriadale-response-signature",
                                "retry-after"} do
          expect_equal(nil, answer.headers[header], text .. ": " .. header)
        end
      end
    end
    for name, kind in pairs(kRepeatable) do
      expect_equal(status, send(kind).status, name .. " is handed on")
    end
  end
end

-- What the target states is still handed on as the promise that it is.
for _, service in ipairs{"plain", "engine"} do
  fleet:set_behaviour{service = service, how = "shed"}
end
for name, kind in pairs(kOnce) do
  if name ~= "draft" then
    expect_equal(503, send(kind).status, name .. " did not run")
  end
end
fleet:stop()
