-- Guards against streams that were closed without an answer though nothing of
-- them had been sent: their target had sent its head and no event, and was lost
-- or too late.
local gateways = require("gateways")
local kTimeoutMs = 800
local fleet = gateways.start{broken = true}
fleet:use_only{"engine-broken"}
fleet:configure(gateways.document(11, function(document)
  for _, route in ipairs(document.routes) do
    route["timeout-ms"] = kTimeoutMs
  end
end))
runner.pump(1000)

local kStreams = {
  note = {method = "POST", path = "/notes/1", body = "x",
          headers = {Accept = "text/event-stream"}},
  answer = {method = "POST", path = "/answers/1", body = "x",
            headers = {Accept = "text/event-stream"}},
  draft = {method = "POST", path = "/drafts/1", body = "x",
           headers = {Accept = "text/event-stream",
                      ["X-Wisteriadale-Pieces"] = "2,2",
                      ["X-Wisteriadale-Piece-Key"] = "ab"}}}

for _, framing in ipairs{"length", "chunks", "close"} do
  for _, case in ipairs{{end_ms = 5 * kTimeoutMs, status = 504},
                        {end_ms = 20, status = 502},
                        {end_ms = 20, reset = true, status = 502}} do
    for name, kind in pairs(kStreams) do
      local reset = case.reset or false
      fleet:set_break{id = "engine-broken", framing = framing, at = "start",
                      reset = reset, end_ms = case.end_ms}
      local options = {id = gateways.new_id()}
      for field, value in pairs(kind) do options[field] = value end
      local answer = fleet:send(gateways.bytes(options))
      local text = name .. ", " .. framing .. ", " .. case.end_ms .. " ms, " ..
                       tostring(reset)
      if framing == "close" and not reset and case.end_ms < kTimeoutMs and
          answer.status == 200 then
        -- An empty body that ends with its connection is complete.
        expect_equal("", answer.body, text)
      else
        expect_equal(case.status, answer.status, text)
        expect(answer.complete, text .. " is complete")
        expect_equal(nil, answer.headers["x-wisteriadale-response-signature"],
                     text .. ": no signature")
      end
    end
  end
end
fleet:stop()
