-- Mutual TLS between routers and agents, and TLS for callers. Guards against a
-- router or an agent that is accepted as a peer although it has no certificate
-- of the configured authority.
local fleet = require("fleet")

local kOpenssl, kCurl = "/usr/bin/openssl", "/usr/bin/curl"
local directory = runner.logs()

local function run_tool(...)
  expect_equal(0, runner.run(...), "exit code of " .. table.concat({...}, " "))
end

local function file(name) return directory .. "/" .. name end

--- Creates a certificate authority, and one certificate signed by it.
local function make_authority(name)
  run_tool(kOpenssl, "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days",
           "2", "-subj", "/CN=" .. name, "-keyout", file(name .. "-ca.key"),
           "-out", file(name .. "-ca.pem"))
  run_tool(kOpenssl, "req", "-newkey", "rsa:2048", "-nodes", "-subj",
           "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1", "-keyout",
           file(name .. ".key"), "-out", file(name .. ".csr"))
  run_tool(kOpenssl, "x509", "-req", "-days", "2", "-copy_extensions", "copy",
           "-in", file(name .. ".csr"), "-CA", file(name .. "-ca.pem"),
           "-CAkey", file(name .. "-ca.key"), "-CAcreateserial", "-out",
           file(name .. ".pem"))
end

make_authority("ours")
make_authority("foreign")

local peer_tls = {["/tls/certificate_file"] = file("ours.pem"),
                  ["/tls/key_file"] = file("ours.key"),
                  ["/tls/ca_file"] = file("ours-ca.pem")}
local deployment = fleet.start{routers = 1, pools = {"stock"}, agent = peer_tls,
                               router = peer_tls}
local answer = deployment:request("lookup", {item = "cone"})
expect_equal(200, answer.status, "request over TLS: " .. answer.body)

--- Starts a second router and expects that it cannot use the agent.
local function expect_refused(settings, text)
  deployment.options.router = settings
  deployment:start_router(2)
  wait_until(function() return deployment:status(2).targets == 1 end, 5000,
             "the target is listed")
  expect_for(1500, function()
    return deployment:status(2).usable_targets == 0
  end, "no usable target for a router " .. text)
  deployment.routers[2]:stop()
  expect_equal(0, deployment.routers[2]:wait(), "exit code")
end

expect_refused({}, "without TLS")
expect_refused({["/tls/ca_file"] = file("ours-ca.pem")},
               "without a certificate")
expect_refused({["/tls/certificate_file"] = file("foreign.pem"),
                ["/tls/key_file"] = file("foreign.key"),
                ["/tls/ca_file"] = file("ours-ca.pem")},
               "with a certificate of another authority")
expect_equal(200, deployment:request("lookup", {item = "cone"}).status,
             "the first router is not affected")

-- A router rejects an agent whose certificate is from another authority.
deployment.agents["stock-1"]:stop()
expect_equal(0, deployment.agents["stock-1"]:wait(), "exit code")
deployment.options.agent = {["/tls/certificate_file"] = file("foreign.pem"),
                            ["/tls/key_file"] = file("foreign.key"),
                            ["/tls/ca_file"] = file("ours-ca.pem")}
deployment:start_agent("stock-1")
expect_for(1500, function()
  return deployment:status(1).usable_targets == 0
end, "an agent with a certificate of another authority is not used")

-- TLS for callers, who need no certificate of their own.
local port = free_port()
local tls_router = start("wisteria-router", {
  ["/name"] = "router-tls", ["/listen/port"] = port,
  ["/platform/port"] = deployment.platform_port, ["/stop/grace_ms"] = 0,
  ["/http/certificate_file"] = file("ours.pem"),
  ["/http/key_file"] = file("ours.key")})
wait_until(function()
  return runner.run(kCurl, "-sf", "--cacert", file("ours-ca.pem"),
                    "https://127.0.0.1:" .. port .. "/healthz") == 0
end, 5000, "response over TLS")
expect_equal(0, http{port = port, path = "/healthz"}.status,
             "no response over plain HTTP")
tls_router:stop()
expect_equal(0, tls_router:wait(), "exit code")

deployment:stop()
