-- Gateways on loopback, with simulated targets and a simulated platform store.

require("helpers")

local gateways = {}
gateways.__index = gateways

gateways.key = "caller-key-1"
local kStartLimitMs = 10000
local kHost = "shop.example"
gateways.host = kHost

--- Returns the operator's configuration document. Its services are plain,
--- engine, first and second; changes is a function that modifies the document.
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

--- Starts a store, two targets of each service, and gateways. Options: count
--- (of gateways), version (of the document), settings (overrides),
--- without_routes (writes no document), broken (adds targets whose responses
--- break off, as fleet.broken; they have no entries yet).
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
  self.broken = {}
  if options.broken then
    for _, id in ipairs{"plain-broken", "engine-broken", "engine-next"} do
      self.broken[#self.broken + 1] = {id = id, service = id:match("^%a+"),
                                       port = free_port()}
    end
  end
  local standin_settings = {["/port"] = self.store_port,
                            ["/targets"] = self.targets}
  if options.broken then
    standin_settings["/broken"] = self.broken
  end
  self.standin = start("wisteria-platform-standin", standin_settings)
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

--- Starts one more gateway, which joins those that run.
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
  gateway.name = chosen["/name"]
  gateway.settings = chosen
  gateway.process = start("wisteria-gateway", chosen)
  self.all[#self.all + 1] = gateway
  return gateway
end

--- Waits until a GET request is answered with a status.
function gateways:wait_for_status(port, path, status)
  wait_until(function()
    local call = http_async{port = port, path = path, timeout_ms = 500}
    local answer = call:wait()
    return answer.status == status
  end, kStartLimitMs, path .. " responds with " .. status)
end

--- Calls the control API of the stand-in: POST with a body, GET without.
function gateways:control(path, body)
  return http{method = body and "POST" or "GET", port = self.store_port,
              path = "/control/" .. path, body = body and encode(body) or nil}
end

--- Writes the operator's document to the store.
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

--- Takes a copy of the store, which restore returns to.
function gateways:take_copy() self:control("copy", {restore = false}) end

--- Brings the store back from its copy: what was written since then is lost, and
--- versions are given out again. The store does not serve calls for down_ms
--- before that.
function gateways:restore(down_ms)
  self:control("store", {how = "busy"})
  runner.pump(down_ms or 300)
  self:control("copy", {restore = true})
  self:control("store", {how = ""})
end

--- Raises the store's version by writing rows that nobody reads.
function gateways:write_other_rows(count)
  for number = 1, count do
    self:control("rows", {table = "other", key = "row", value = "v" .. number})
  end
end

--- Waits until a gateway has logged that a target leaves.
function gateways:wait_until_leaving(gateway, id)
  wait_until(function()
    for _, line in ipairs(self:log_lines(gateway)) do
      if line.event == "target_leaving" and line.target == id then
        return true
      end
    end
    return false
  end, 5000, id .. " leaves")
end

--- Sends requests and returns how often each target ran one.
function gateways:count_runs(options, count)
  local before = #self:runs()
  for _ = 1, count do
    local copy = {}
    for field, value in pairs(options) do copy[field] = value end
    expect_equal(200, self:request(copy).status, "response")
  end
  local counts = {}
  for number, run in ipairs(self:runs()) do
    if number > before then
      counts[run.target] = (counts[run.target] or 0) + 1
    end
  end
  return counts
end

--- Sets the simulated behaviour of one target (id) or of a service's targets
--- (service): {id= or service=, how=, ...}.
function gateways:set_behaviour(behaviour)
  self:control("targets", behaviour)
end

--- Sets where the responses of a broken target break off: {id=, framing=, at=,
--- reset=, ...}.
function gateways:set_break(options) self:control("broken", options) end

--- Removes a target's entry from the store.
function gateways:remove_target(target)
  self:control("rows", {table = "servers", key = target.id})
end

--- Leaves only the targets with these ids to the services plain and engine, and
--- waits until the gateways know. A target that was removed may not return.
function gateways:use_only(ids)
  local used, removed = {}, {}
  for _, id in ipairs(ids) do used[id] = true end
  for _, target in ipairs(self.broken) do
    if used[target.id] then self:register_target(target) end
  end
  for _, list in ipairs{self.targets, self.broken} do
    for _, target in ipairs(list) do
      local plain = target.service == "plain" or target.service == "engine"
      if plain and not used[target.id] then
        self:remove_target(target)
        if list == self.targets then removed[#removed + 1] = target.id end
      end
    end
  end
  for _, gateway in ipairs(self.all) do
    wait_until(function()
      local left = {}
      for _, line in ipairs(self:log_lines(gateway)) do
        if line.event == "target_leaving" then left[line.target] = true end
      end
      for _, id in ipairs(removed) do
        if not left[id] then return false end
      end
      return true
    end, 10000, "only the chosen targets are used")
  end
end

--- Returns what the targets ran, stages included; with an id only for that
--- request.
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

--- Returns the runs of a request itself, without its stages.
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

--- Returns the bytes of a request. Options: method, path, host, headers, body,
--- id and key (false to omit their headers), chunked.
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

--- Decodes a chunked body; returns the bytes so far and whether it is complete.
local function decode_chunked(text)
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

--- Parses one response: status, headers (lower-case names), body, framing
--- ("chunks", "length" or "close") and complete, which needs chunks or a length.
--- Returns nil until all headers have arrived.
function gateways.parse(text)
  local head, rest = text:match("^(.-)\r\n\r\n(.*)$")
  if not head then return nil end
  local answer = {status = tonumber(head:match("^HTTP/1.1 (%d+)")),
                  headers = {}, body = rest, framing = "close",
                  complete = false}
  for name, value in head:gmatch("\r\n([^:]+): ([^\r]*)") do
    answer.headers[name:lower()] = value
  end
  if answer.headers["transfer-encoding"] == "chunked" then
    answer.framing = "chunks"
    answer.body, answer.complete = decode_chunked(rest)
  elseif answer.headers["content-length"] then
    local length = tonumber(answer.headers["content-length"])
    answer.framing = "length"
    answer.complete = #rest >= length
    answer.body = rest:sub(1, length)
  end
  return answer
end

--- Sends bytes to a gateway and waits until the response is complete or the
--- connection is closed. Status 0 means that no response arrived.
function gateways:send(bytes, gateway, limit_ms)
  local socket = connect((gateway or self.all[1]).callers)
  socket:send(bytes)
  local answer
  wait_until(function()
    answer = gateways.parse(socket:read())
    return (answer and answer.complete) or socket.closed
  end, limit_ms or 10000, "a complete response")
  answer = answer or {status = 0, headers = {}, body = "", complete = false}
  answer.closed, answer.reset = socket.closed, socket.reset
  socket:close()
  return answer
end

--- Sends a request and waits for the response. Options: those of bytes, and
--- gateway.
function gateways:request(options)
  options.id = options.id or gateways.new_id()
  local answer = self:send(gateways.bytes(options), options.gateway)
  answer.id = options.id
  return answer
end

--- Returns the log lines of a gateway; with an id only those of that request.
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

--- Returns the first line of an event, or nil.
function gateways.event(lines, event)
  for _, line in ipairs(lines) do
    if line.event == event then return line end
  end
end

--- Kills all processes; scenarios of the graceful stop wait for exit codes
--- themselves.
function gateways:stop()
  for _, gateway in ipairs(self.all) do
    if gateway.process:running() then gateway.process:kill() end
  end
  self.standin:kill()
end

return gateways
