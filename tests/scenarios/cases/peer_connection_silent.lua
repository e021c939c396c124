-- The open connections to one node from its peers go silent for good; new ones work. The peers
-- open new ones and the fleet serves on.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 8 }
local orders = offer_orders { callers = 4, ask_again = true }
wait_for_answers(streams, 30)
for _, name in ipairs(nodes()) do
    silence("peer-" .. name)
    wait_for_answers(streams, 30)
    wait_for_answers(orders, 20)
end
expect_all_holds()
