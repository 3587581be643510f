-- A cap on the processor time of a process, as platforms set one: it runs at full
-- speed for a part of each period and not at all for the rest.

local usage_cap = {}
usage_cap.__index = usage_cap

local kPeriodMs = 100
local kRunMs = 20

--- Caps a process from the next call of step on.
function usage_cap.of(process)
  return setmetatable({process = process, paused = false}, usage_cap)
end

--- Pauses or continues the process. To be called often. on_continue is called
--- before the process continues.
function usage_cap:step(on_continue)
  local pause = now_ms() % kPeriodMs >= kRunMs
  if pause == self.paused then return end
  self.paused = pause
  if pause then
    self.process:pause()
  else
    on_continue()
    self.process:continue()
  end
end

--- Lets the process run without a cap.
function usage_cap:lift()
  if self.paused then self.process:continue() end
  self.paused = false
end

return usage_cap
