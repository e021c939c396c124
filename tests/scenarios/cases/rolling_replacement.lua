-- Every node is replaced under load, one after the other. No request may be interrupted.
start_fleet { nodes = 3, engines = 2, services = 1 }
local streams = offer_streams { callers = 8, max_tokens_min = 20, max_tokens_max = 100 }
local orders = offer_orders { callers = 4 }
wait_for_answers(streams, 20)
for _, name in ipairs(nodes()) do
    stop(name)
    restart(name)
    wait_for_answers(streams, 20)
    wait_for_answers(orders, 10)
end
expect_all_holds()
