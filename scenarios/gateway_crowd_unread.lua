-- Callers with a valid key that send requests one behind the other and read no
-- answer.
local crowds = require("crowds")
local fleet = crowds.start()
fleet:set_behaviour{service = "plain", padding = 1040000}
local requests = ""
for _ = 1, 50 do requests = requests .. crowds.head("Accept-Language: en", "GET") end
local callers = crowds.send(fleet, function() return requests end,
                            {whole = true, callers = 120})
runner.pump(3000)
fleet:set_behaviour{service = "plain"}
crowds.expect_borne(fleet, callers)
