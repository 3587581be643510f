-- Crowds of three kinds, one after the other: what each of them took is free for
-- the next.
local crowds = require("crowds")
local fleet = crowds.start()
local length = ("x"):rep(crowds.body_bytes)
local small_chunks = crowds.chunks(crowds.body_bytes, 16)
local large_chunks = crowds.chunks(crowds.body_bytes, 500000)
for _ = 1, 2 do
  for _, request in ipairs{
      crowds.head("Content-Length: " .. #length) .. length,
      crowds.head("Transfer-Encoding: chunked") .. small_chunks,
      crowds.head("Transfer-Encoding: chunked") .. large_chunks} do
    local callers = crowds.send(fleet, function() return request end)
    crowds.expect_served(fleet)
    crowds.close(callers)
  end
end
fleet:stop()
