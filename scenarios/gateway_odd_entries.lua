-- Another writer leaves odd entries among those of the targets, of the gateways
-- and of the operator. The gateways go on, follow the entries beside them, and
-- log a line for each one that they refuse.
local gateways = require("gateways")
local kDepth = 40000
local fleet = gateways.start{count = 2}

local nested = ("["):rep(kDepth)
local function entry(field, value)
  local fields = {service = '"plain"', zone = '"a"', version = '"v1"',
                  address = '"127.0.0.1:9"', slots = "4", state = '"ready"',
                  ["cold-remaining-ms"] = "0", sequence = "1", born = "1"}
  fields[field] = value
  local parts = {}
  for name, text in pairs(fields) do
    parts[#parts + 1] = '"' .. name .. '":' .. text
  end
  return "{" .. table.concat(parts, ",") .. "}"
end
local odd = {
  ["a-nested"] = nested, ["a-closed"] = nested .. ("]"):rep(kDepth),
  ["a-slots"] = entry("slots", "1e300"), ["a-none"] = entry("slots", "0"),
  ["a-number"] = entry("slots", "1e400"),
  ["a-warm"] = entry("cold-remaining-ms", "1e300"),
  ["a-born"] = entry("born", "18446744073709551615"),
  ["a-port"] = entry("address", '"127.0.0.1:70000"'),
  ["a-zero"] = entry("address", '"127.0.0.1:0"'),
  ["a-address"] = entry("address", '"999.1.1.1:80"'),
  ["z-nested"] = entry("slots", nested)}
for key, value in pairs(odd) do
  fleet:control("rows", {table = "servers", key = key, value = value})
end
local addresses = {"127.0.0.1:70000", "127.0.0.1:0", "no-such-host.invalid:80",
                   nested, ("9"):rep(kDepth) .. ":80"}
for number, value in ipairs(addresses) do
  fleet:control("rows", {table = "wisteria-gateways", key = "odd" .. number,
                         value = value})
end
fleet:control("rows", {table = "op", key = "other", value = nested})

local function refused(gateway)
  local seen = {}
  for _, line in ipairs(fleet:log_lines(gateway)) do
    if line.event == "entry_refused" then seen[line.entry] = true end
  end
  return seen
end
for _, gateway in ipairs(fleet.all) do
  wait_until(function()
    local seen = refused(gateway)
    for key in pairs(odd) do
      if not seen[key] then return false end
    end
    return true
  end, 5000, gateway.name .. " refuses each odd entry")
end

-- A gateway that starts reads the whole list.
local joined = fleet:add()
fleet:wait_for_status(joined.operators, "/readyz", 200)
-- Only the newest entry of the service is left for requests.
fleet:control("rows", {table = "servers", key = "plain-1"})
for _, gateway in ipairs(fleet.all) do
  fleet:wait_until_leaving(gateway, "plain-1")
end
for number = 1, 6 do
  expect_equal(200, fleet:request{path = "/stock/" .. number,
                                  gateway = fleet.all[1 + number % 3]}.status,
               "served beside odd entries")
end
for _, gateway in ipairs(fleet.all) do
  expect(gateway.process:running(), gateway.name .. " runs")
end

fleet:stop()
