-- Bodies that stop short of their end, and heads that do not end, at the port of
-- an agent.
local crowds = require("crowds")
local fleet = require("fleet")
local process_memory = require("process_memory")
local kMemoryMb = 96
local kMaxDescriptors = 600
local system = fleet.start{
  routers = 1, pools = {"stock"},
  agent = {["/capacity/memory_mb"] = kMemoryMb,
           ["/net/max_connections"] = kMaxDescriptors}}
local agent = system.agents["stock-1"]
system.memory = process_memory.of(agent)
local body = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" ..
                 ("x"):rep(1000000)
local head = "GET / HTTP/1.1\r\nHost: a\r\nA: " .. ("x"):rep(1000) .. "\r\n"
local callers = crowds.send(system, function(number)
  return number % 4 == 0 and head or body
end, {callers = 650, port = system.agent_ports["stock-1"]})
system.memory:pump(1000)
expect(agent:running(), "the agent runs")
system.memory:expect_within(kMemoryMb, "memory of the agent")
local answer = system:request("lookup", {item = "cone"})
expect_equal(200, answer.status, "an ordinary caller: " .. answer.body)
crowds.close(callers)
system:stop()
