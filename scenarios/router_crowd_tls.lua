-- Bodies of legal size that stop short of their end, over TLS.
local crowds = require("router_crowds")
local process_memory = require("process_memory")
local directory = runner.logs()
local kCallers = 100

local function run(...)
  expect_equal(0, runner.run(...), table.concat({...}, " "))
end
local function file(name) return directory .. "/" .. name end

run("/usr/bin/openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes",
    "-days", "2", "-subj", "/CN=127.0.0.1", "-addext",
    "subjectAltName=IP:127.0.0.1", "-keyout", file("crowd.key"), "-out",
    file("crowd.pem"))
local fleet = crowds.start()
local settings = {["/name"] = "router-tls", ["/listen/port"] = free_port(),
                  ["/platform/port"] = fleet.platform_port,
                  ["/stop/grace_ms"] = 0,
                  ["/http/certificate_file"] = file("crowd.pem"),
                  ["/http/key_file"] = file("crowd.key")}
for pointer, value in pairs(crowds.settings) do settings[pointer] = value end
local router = start("wisteria-router", settings)
local memory = process_memory.of(router)
local output = io.open(file("crowd.json"), "w")
output:write(crowds.body(crowds.body_bytes))
output:close()
local curl = "/usr/bin/curl -s -o /dev/null --cacert " .. file("crowd.pem") ..
                 " -H 'Authorization: Bearer " .. fleet.api_key .. "' "
local url = " https://127.0.0.1:" .. settings["/listen/port"]
local path = url .. "/v1/pipelines/lookup/requests"
wait_until(function()
  return runner.run("/bin/sh", "-c", curl .. "-f" .. url .. "/readyz") == 0
end, 5000, "the router is ready")
-- A length that is one more than what is sent.
run("/bin/sh", "-c", "for caller in $(seq " .. kCallers .. "); do " .. curl ..
        "--max-time 8 -H 'Content-Length: " .. crowds.body_bytes + 1 ..
        "' --data-binary @" .. file("crowd.json") .. path .. " & done")
memory:pump(6000)
expect(router:running(), "the router runs")
memory:expect_within(crowds.memory_mb, "memory")
run("/bin/sh", "-c", curl .. "--max-time 10 -f -d '{\"item\":\"cone\"}'" .. path)
router:stop()
expect_equal(0, router:wait(), "exit code")
fleet:stop()
