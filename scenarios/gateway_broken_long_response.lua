-- A response too long to be held back breaks off after a part of it was passed
-- on: no part of another target's response is put behind it.
local gateways = require("gateways")
local fleet = gateways.start{broken = true}
fleet:use_only{"plain-1", "plain-broken", "engine-broken"}
local kPadding = 2 << 20
local whole = "ran prompt" .. string.rep(".", kPadding)
fleet:set_behaviour{id = "plain-1", padding = kPadding}

for _, framing in ipairs{"length", "chunks", "close"} do
  for _, reset in ipairs{false, true} do
    fleet:set_break{id = "plain-broken", framing = framing, at = "inside",
                    reset = reset, padding = kPadding, end_ms = 100}
    for _ = 1, 6 do
      local answer = fleet:request{method = "POST", path = "/stock/1",
                                   body = "prompt"}
      local cell = framing .. (reset and ", reset" or ", closed")
      expect(whole:sub(1, #answer.body) == answer.body,
             cell .. ": a body of " .. #answer.body .. " bytes is no part of " ..
             #whole)
      expect(not answer.complete or answer.body == whole,
             cell .. ": complete with " .. #answer.body .. " bytes")
    end
  end
end

fleet:stop()
