-- Memory of a process as a platform counts it: resident bytes, and bytes that it
-- has received and not read yet.

local process_memory = {}
process_memory.__index = process_memory

local kSamplePeriodMs = 50
local kKilobytesPerMb = 1024

--- Returns a record of the highest memory of a process, as far as samples tell.
function process_memory.of(process)
  return setmetatable({process = process, sampled_at = 0, sum = 0, resident = 0,
                       unread = 0}, process_memory)
end

--- Takes a sample, unless the last one was just taken. To be called often.
function process_memory:sample()
  if now_ms() - self.sampled_at >= kSamplePeriodMs then self:sample_now() end
end

function process_memory:sample_now()
  self.sampled_at = now_ms()
  local resident, unread = self.process:resident_kb(), self.process:unread_kb()
  if resident + unread <= self.sum then return end
  self.sum, self.resident, self.unread = resident + unread, resident, unread
end

--- Waits, and samples meanwhile.
function process_memory:pump(time_ms)
  local until_ms = now_ms() + time_ms
  while now_ms() < until_ms do
    runner.pump(10)
    self:sample()
  end
end

--- Expects that the process has always stayed within a limit in MB.
function process_memory:expect_within(limit_mb, text)
  local peak = self.process:peak_kb() // kKilobytesPerMb
  expect(peak < limit_mb, text .. ": " .. peak .. " MB resident")
  expect(self.sum // kKilobytesPerMb < limit_mb, string.format(
    "%s: %d MB, of which %d resident and %d unread", text,
    self.sum // kKilobytesPerMb, self.resident // kKilobytesPerMb,
    self.unread // kKilobytesPerMb))
end

return process_memory
