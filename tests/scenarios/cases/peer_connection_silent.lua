-- The open connections from its peers to one node stop passing data permanently; new ones work. The
-- peers must reconnect, and the fleet must keep serving.
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
