-- A target writes its refusal of one request once more on the connection that
-- carries the next: nobody is told that a request did not run that runs.
local gateways = require("gateways")
local fleet = gateways.start{broken = true}
fleet:use_only{"plain-broken", "engine-broken"}
fleet:set_break{id = "plain-broken", repeats = true}

for _, same_id in ipairs{false, true} do
  for _, path in ipairs{"/stock/1", "/orders/1"} do
    local ran = 0
    for number = 1, 4 do
      local id = same_id and gateways.new_id() or nil
      -- Three, so that one of them follows a refusal whichever is refused.
      for copy = 1, 3 do
        local body = "body-" .. number .. "-" .. copy
        local answer = fleet:request{method = "POST", path = path, id = id,
                                     body = body}
        local runs = 0
        for _, run in ipairs(fleet:own_runs(answer.id)) do
          if run.body == body then runs = runs + 1 end
        end
        local text = path .. (same_id and ", the same id" or ", another id") ..
                         ": status " .. answer.status .. ", runs " .. runs
        expect(answer.status == 200 and runs == 1 or
                   answer.status == 503 and runs == 0, text)
        ran = ran + runs
      end
    end
    expect(ran > 0 or path == "/orders/1", "connections are kept")
  end
end

fleet:stop()
