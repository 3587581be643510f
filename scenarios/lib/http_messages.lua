-- Incremental parser of HTTP messages, for connections that a scenario reads or
-- writes at its own pace. Of a body it keeps the first bytes and the length.

local messages = {}
messages.__index = messages
local kKeptBytes = 4096

--- Returns a parser of the next request or response of a connection.
function messages.new(is_response)
  return setmetatable({is_response = is_response, buffer = "", state = "head",
                       headers = {}, body = "", body_bytes = 0,
                       complete = false, filled = true}, messages)
end

function messages:parse_head(head)
  self.start_line = head:match("^[^\r]*")
  self.status = tonumber(self.start_line:match("^HTTP/1.1 (%d+)"))
  for name, value in head:gmatch("\r\n([^:]+): *([^\r]*)") do
    self.headers[name:lower()] = value
  end
  if self.is_response and self.status and self.status < 200 then
    self.headers = {}
    return
  end
  self.method, self.path = self.start_line:match("^(%S+) (%S+)")
  local length = tonumber(self.headers["content-length"])
  if self.headers["transfer-encoding"] == "chunked" then
    self.state = "size"
  elseif length or not self.is_response then
    self.state, self.left = "length", length or 0
  else
    self.state = "close"
  end
end

function messages:take_body(count)
  local part = self.buffer:sub(1, count)
  self.buffer = self.buffer:sub(count + 1)
  self.body_bytes = self.body_bytes + #part
  local kept = part:sub(1, math.max(0, kKeptBytes - #self.body))
  self.body = self.body .. kept
  if #kept < #part and part:find("[^.]", #kept + 1) then self.filled = false end
  self.left = self.left - #part
  return #part > 0
end

--- Takes one step. Returns whether another may follow.
function messages:step()
  if self.state == "head" then
    local from, to = self.buffer:find("\r\n\r\n", 1, true)
    if not from then return false end
    local head = self.buffer:sub(1, from + 1)
    self.buffer = self.buffer:sub(to + 1)
    self:parse_head(head)
    return true
  elseif self.state == "length" then
    local took = self.left > 0 and self:take_body(self.left)
    self.complete = self.left == 0
    return took and not self.complete
  elseif self.state == "size" then
    local size, to = self.buffer:match("^(%x+)[^\r]*\r\n()")
    if not size then return false end
    self.buffer = self.buffer:sub(to)
    self.left = tonumber(size, 16)
    self.state = self.left == 0 and "trailer" or "chunk"
    return true
  elseif self.state == "chunk" then
    if self.left > 0 and not self:take_body(self.left) then return false end
    if self.left > 0 or #self.buffer < 2 then return false end
    self.buffer, self.state = self.buffer:sub(3), "size"
    return true
  elseif self.state == "trailer" then
    local line, to = self.buffer:match("^([^\r]*)\r\n()")
    if not line then return false end
    self.buffer = self.buffer:sub(to)
    self.complete = line == ""
    return not self.complete
  end
  self.left = 0
  self:take_body(#self.buffer)
  return false
end

--- Takes bytes of the connection. What follows the message stays in `buffer`.
function messages:feed(bytes)
  self.buffer = self.buffer .. bytes
  while not self.complete and self:step() do end
end

return messages
