-- An operator drains a target through one router while the platform is down,
-- and no router uses it until it is undrained. Guards against a drain that
-- needs the platform. Orders reach a target once a router holds the controller
-- lease.
local fleet = require("fleet")

local kPropagationMs = 3000
local kLeaseWaitMs = 20000

local deployment = fleet.start{routers = 2}

local function post(router, path, body)
  return http{port = deployment.router_ports[router], method = "POST",
              path = "/v1/operator/" .. path, body = body,
              timeout_ms = kLeaseWaitMs}
end

local function usable_count(router)
  return deployment:status(router).usable_targets
end

local all = usable_count(1)
expect_equal(all, usable_count(2), "usable targets of both routers")

deployment:set_faults{table_down = true, objects_down = true,
                      vm_list_down = true}
expect_equal(200, post(1, "drain", '{"target": "stock-1"}').status, "drain")
wait_until(function()
  return usable_count(1) == all - 1 and usable_count(2) == all - 1
end, kPropagationMs, "no router uses the drained target")
expect_equal(200, post(2, "undrain", '{"target": "stock-1"}').status,
             "undrain through the other router")
wait_until(function()
  return usable_count(1) == all and usable_count(2) == all
end, kPropagationMs, "both routers use the target again")
deployment:set_faults{}

local order = post(1, "orders", '{"order_id": "order-1", "target": "stock-1",' ..
                   '"kind": "load_model", "argument": "drafts-2"}')
expect_equal(200, order.status, "order: " .. order.body)
expect_equal(404, post(1, "drain", '{"target": "nobody"}').status,
             "drain of an unknown target")
expect_equal(400, post(1, "orders", '{"target": "stock-1", "kind": "sing"}').status,
             "order of an unknown kind")

deployment:expect_running()
deployment:stop()
