-- Gateways before played targets and a played store of the platform.

require("helpers")

local gateways = {}
gateways.__index = gateways

gateways.key = "caller-key-1"
local kStartLimitMs = 10000
local kHost = "shop.example"
gateways.host = kHost

--- The operator's document. Services: plain, engine, first, second.
function gateways.document(version, changes)
  local function route(name, prefix, kind, service, more)
    local made = {name = name, host = kHost, ["path-prefix"] = prefix,
                  kind = kind, service = service, ["timeout-ms"] = 3000,
                  ["target-latency-ms"] = 1000, priority = 1,
                  ["max-attempts"] = 2, public = false, sticky = false,
                  resumable = false}
    for field, value in pairs(more or {}) do made[field] = value end
    return made
  end
  local pieces = {slots = 1, queue = 2, batch = 8, ["call-ms"] = 20,
                  ["item-ms"] = 1, ["headroom-mb"] = 50, ["handle-s"] = 4,
                  ["link-mbps"] = 10000}
  local stages = {{service = "first", after = {n = 0}, ["size-bytes"] = 8000},
                  {service = "second", after = {0}, ["size-bytes"] = 60000}}
  local document = {
    version = version,
    routes = {
      route("look", "/stock/", "idempotent", "plain"),
      route("look-deep", "/stock/rods/", "idempotent", "plain"),
      route("book", "/orders/", "non_idempotent", "plain"),
      route("open", "/open/", "idempotent", "plain", {public = true}),
      route("answer", "/answers/", "streaming", "engine", {resumable = true}),
      route("note", "/notes/", "streaming", "engine"),
      route("draft", "/drafts/", "streaming", "engine", {stages = stages})},
    services = {
      {name = "plain", ["health-path"] = "/healthz", ["max-connections"] = 50},
      {name = "engine", ["health-path"] = "/healthz", ["max-connections"] = 50},
      {name = "first", ["health-path"] = "/healthz", ["max-connections"] = 50,
       pieces = pieces},
      {name = "second", ["health-path"] = "/healthz", ["max-connections"] = 50,
       pieces = pieces}},
    limits = {["max-header-bytes"] = 4096, ["max-body-bytes"] = 20000,
              ["header-timeout-ms"] = 1000, ["idle-timeout-ms"] = 5000},
    tenants = {{name = "molde", ["api-keys"] = {gateways.key}, priority = 1}}}
  if changes then changes(document) end
  return document
end

--- Starts gateways (options.count), targets (two of each service) and a store.
function gateways.start(options)
  options = options or {}
  local self = setmetatable({targets = {}, all = {}}, gateways)
  self.store_port = free_port()
  for _, service in ipairs{"plain", "engine", "first", "second"} do
    for number = 1, 2 do
      self.targets[#self.targets + 1] = {id = service .. "-" .. number,
                                         service = service,
                                         port = free_port()}
    end
  end
  self.standin = start("wisteria-platform-standin",
                       {["/port"] = self.store_port,
                        ["/targets"] = self.targets})
  self:wait_for_status(self.store_port, "/control/store", 200)
  for _, target in ipairs(self.targets) do self:register_target(target) end
  if not options.without_routes then
    self:configure(gateways.document(options.version or 10))
  end
  for _ = 1, options.count or 1 do self:add(options.settings) end
  if not options.without_routes then
    for _, gateway in ipairs(self.all) do
      self:wait_for_status(gateway.operators, "/readyz", 200)
    end
  end
  return self
end

--- Starts one more gateway.
function gateways:add(settings)
  local gateway = {callers = free_port(), operators = free_port(),
                   links = free_port(), name = "g" .. #self.all + 1}
  local function at(port) return "127.0.0.1:" .. port end
  local seeds = {}
  for _, other in ipairs(self.all) do seeds[#seeds + 1] = at(other.links) end
  local chosen = {["/name"] = gateway.name,
                  ["/listen/callers"] = at(gateway.callers),
                  ["/listen/operators"] = at(gateway.operators),
                  ["/listen/gateways"] = at(gateway.links),
                  ["/store/endpoint"] = at(self.store_port),
                  ["/random_seed"] = #self.all + 1, ["/log/json"] = true}
  if #seeds > 0 then chosen["/gateways/seeds"] = seeds end
  for pointer, value in pairs(settings or {}) do chosen[pointer] = value end
  gateway.settings = chosen
  gateway.process = start("wisteria-gateway", chosen)
  self.all[#self.all + 1] = gateway
  return gateway
end

function gateways:wait_for_status(port, path, status)
  wait_until(function()
    local call = http_async{port = port, path = path, timeout_ms = 500}
    local answer = call:wait()
    return answer.status == status
  end, kStartLimitMs, path .. " answers " .. status)
end

function gateways:control(path, body)
  return http{method = body and "POST" or "GET", port = self.store_port,
              path = "/control/" .. path, body = body and encode(body) or nil}
end

--- Writes the operator's document.
function gateways:configure(document)
  self:control("rows", {table = "op", key = "config", value = document})
end

--- Writes a target's entry in the store; changes replaces some of its fields.
function gateways:register_target(target, changes)
  local entry = {service = target.service, zone = "a", version = "v1",
                 address = "127.0.0.1:" .. target.port, slots = 4,
                 state = "ready", ["cold-remaining-ms"] = 0, sequence = 1,
                 born = 1}
  for field, value in pairs(changes or {}) do entry[field] = value end
  self:control("rows", {table = "servers", key = target.id, value = entry})
end

--- Sets how targets behave: {id= or service=, how=, ...}.
function gateways:set_behaviour(behaviour)
  self:control("targets", behaviour)
end

--- What the targets ran, of one request where an id is given.
function gateways:runs(id)
  local found = {}
  for _, run in ipairs(self:control("runs").json.runs) do
    local staged = run.path == "/v1/stage-run" and id and
                       run.body:find(id, 1, true)
    if not id or run.request_id == id or staged then
      found[#found + 1] = run
    end
  end
  return found
end

--- Runs of a request itself, without its stages.
function gateways:own_runs(id)
  local found = {}
  for _, run in ipairs(self:runs(id)) do
    if run.request_id == id then found[#found + 1] = run end
  end
  return found
end

local ids = 0
function gateways.new_id()
  ids = ids + 1
  return string.format("%016x", ids)
end

--- Bytes of a request. Options: method, path, headers, body, id, key (false for
--- none), chunked.
function gateways.bytes(options)
  local lines = {(options.method or "GET") .. " " .. options.path ..
                     " HTTP/1.1", "Host: " .. (options.host or kHost)}
  local function add(name, value) lines[#lines + 1] = name .. ": " .. value end
  if options.id ~= false then
    add("X-Wisteriadale-Request-Id", options.id or gateways.new_id())
  end
  if options.key ~= false then
    add("X-Wisteriadale-Key", options.key or gateways.key)
  end
  for name, value in pairs(options.headers or {}) do add(name, value) end
  local body = options.body or ""
  if options.chunked then
    add("Transfer-Encoding", "chunked")
    body = string.format("%x\r\n%s\r\n0\r\n\r\n", #body, body)
  elseif options.body then
    add("Content-Length", #body)
  end
  return table.concat(lines, "\r\n") .. "\r\n\r\n" .. body
end

local function unchunk(text)
  local body, at = "", 1
  while true do
    local from, to, size = text:find("^(%x+)\r\n", at)
    if not from then return body, false end
    local length = tonumber(size, 16)
    if length == 0 then return body, text:sub(to + 1, to + 2) == "\r\n" end
    if #text < to + length + 2 then return body, false end
    body = body .. text:sub(to + 1, to + length)
    at = to + length + 3
  end
end

--- Reads one answer from bytes: status, headers (lower case), body, complete.
function gateways.parse(text)
  local head, rest = text:match("^(.-)\r\n\r\n(.*)$")
  if not head then return nil end
  local answer = {status = tonumber(head:match("^HTTP/1.1 (%d+)")),
                  headers = {}, body = rest, complete = false}
  for name, value in head:gmatch("\r\n([^:]+): ([^\r]*)") do
    answer.headers[name:lower()] = value
  end
  if answer.headers["transfer-encoding"] == "chunked" then
    answer.body, answer.complete = unchunk(rest)
  elseif answer.headers["content-length"] then
    local length = tonumber(answer.headers["content-length"])
    answer.complete = #rest >= length
    answer.body = rest:sub(1, length)
  end
  return answer
end

--- Sends bytes to a gateway and waits for the answer or the end.
function gateways:send(bytes, gateway, limit_ms)
  local socket = connect((gateway or self.all[1]).callers)
  socket:send(bytes)
  local answer
  wait_until(function()
    answer = gateways.parse(socket:read())
    return (answer and answer.complete) or socket.closed
  end, limit_ms or 10000, "an answer")
  answer = answer or {status = 0, headers = {}, body = "", complete = false}
  answer.closed = socket.closed
  socket:close()
  return answer
end

--- Asks a gateway; options as for bytes, and gateway.
function gateways:request(options)
  options.id = options.id or gateways.new_id()
  local answer = self:send(gateways.bytes(options), options.gateway)
  answer.id = options.id
  return answer
end

--- Log lines of a gateway, of one request where an id is given.
function gateways:log_lines(gateway, id)
  local found = {}
  local name = runner.logs() .. "/" .. gateway.process.id .. "-" ..
                   gateway.name .. ".log"
  for text in io.lines(name) do
    local line = decode(text)
    if line and (not id or line.request_id == id) then
      found[#found + 1] = line
    end
  end
  return found
end

--- The first line of an event, or nil.
function gateways.event(lines, event)
  for _, line in ipairs(lines) do
    if line.event == event then return line end
  end
end

function gateways:stop()
  for _, gateway in ipairs(self.all) do
    if gateway.process:running() then gateway.process:kill() end
  end
  self.standin:kill()
end

return gateways
