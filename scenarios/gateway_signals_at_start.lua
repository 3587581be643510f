-- A gateway whose port is taken for a moment waits for it, whichever of its
-- three ports it is; a reload signal meanwhile does not end it, and a stop signal
-- ends it cleanly. Gateways ended by the signal, or with code 1.
local gateways = require("gateways")
local fleet = gateways.start()

local kStartedMs = 300
local kHeldMs = 700

local function new_settings(name)
  local settings = {}
  for pointer, value in pairs(fleet.all[1].settings) do
    settings[pointer] = value
  end
  settings["/name"] = name
  for _, port in ipairs{"callers", "operators", "gateways"} do
    settings["/listen/" .. port] = "127.0.0.1:" .. free_port()
  end
  return settings
end

local function port_of(address) return tonumber(address:match(":(%d+)")) end

for _, port in ipairs{"callers", "operators", "gateways"} do
  -- Has the port, and ends soon.
  local holder_settings = new_settings("holder-" .. port)
  local holder = start("wisteria-gateway", holder_settings)
  local pointer = "/listen/" .. port
  fleet:wait_for_status(port_of(holder_settings["/listen/operators"]),
                        "/healthz", 200)

  local waiting_settings = new_settings("waits-" .. port)
  waiting_settings[pointer] = holder_settings[pointer]
  local waiting = start("wisteria-gateway", waiting_settings)
  local stopped_settings = new_settings("stopped-" .. port)
  stopped_settings[pointer] = holder_settings[pointer]
  local stopped = start("wisteria-gateway", stopped_settings)
  expect_for(kStartedMs, function()
    return waiting:running() and stopped:running()
  end, "a gateway waits for its " .. port .. " port")
  waiting:reload()
  stopped:stop()
  expect_equal(0, stopped:wait(1000), "clean exit while it waits")
  expect_for(kHeldMs, function() return waiting:running() end,
             "a reload signal does not end a gateway that waits")
  holder:kill()
  fleet:wait_for_status(port_of(waiting_settings["/listen/operators"]),
                        "/readyz", 200)
  waiting:stop()
  expect_equal(0, waiting:wait(9000), "clean exit")
end

fleet:stop()
