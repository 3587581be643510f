-- Bytes that are to be sent on a connection without waiting for its peer.

local paced_output = {}
paced_output.__index = paced_output
local kBlock = string.rep(".", 65536)
local kMaxBytesPerCall = 1048576

function paced_output.new(socket)
  return setmetatable({socket = socket, parts = {}, first = 1}, paced_output)
end

--- Appends a text.
function paced_output:add(text)
  if text ~= "" then self.parts[#self.parts + 1] = {text = text, at = 0} end
end
--- Appends a number of dots.
function paced_output:add_dots(count)
  if count > 0 then
    self.parts[#self.parts + 1] = {text = kBlock, at = 0, left = count}
  end
end
--- Repeats a text without end.
function paced_output:add_endless(text)
  text = string.rep(text, math.max(1, 65536 // #text))
  self.parts[#self.parts + 1] = {text = text, at = 0, left = math.huge}
end
function paced_output:empty() return self.first > #self.parts end

--- Sends what the connection takes, limit bytes at most. Returns false when the
--- connection failed.
function paced_output:flush(limit)
  local allowed = math.min(limit or kMaxBytesPerCall, kMaxBytesPerCall)
  while allowed > 0 and not self:empty() do
    local part = self.parts[self.first]
    local text = part.text
    local size = math.min(#text - part.at, part.left or #text, allowed)
    if part.at + size < #text then text = text:sub(1, part.at + size) end
    local sent = self.socket:send_some(text, part.at)
    if not sent then return false end
    if sent == 0 then return true end
    allowed = allowed - sent
    part.at = part.at + sent
    if part.left then
      part.left = part.left - sent
      part.at = part.at % #part.text
    end
    if (part.left or #part.text - part.at) <= 0 then self.first = self.first + 1 end
  end
  return true
end

return paced_output
